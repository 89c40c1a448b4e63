"""Pack the launcher and a directory with a program into a single executable file."""

import gzip
import hashlib
import io
import sys
import tarfile
from pathlib import Path

__all__ = ["pack"]

MAGIC = b"BTSPACK1"
DIGEST_DIGITS = 16
EXECUTABLE = 0o755


def pack(launcher: Path, folder: Path, output: Path) -> None:
    """Write `output`: the launcher, an archive of `folder`, and a footer.

    The output is reproducible: the archive has no timestamps and no owners.
    """
    archive = gzip.compress(_create_archive(folder), mtime=0)
    digest = hashlib.sha256(archive).hexdigest()[:DIGEST_DIGITS]
    footer = MAGIC + digest.encode() + len(archive).to_bytes(8, "little")
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_bytes(launcher.read_bytes() + archive + footer)
    output.chmod(EXECUTABLE)


def _create_archive(folder: Path) -> bytes:
    stream = io.BytesIO()
    with tarfile.open(fileobj=stream, mode="w", format=tarfile.USTAR_FORMAT) as tar:
        for path in sorted(folder.rglob("*")):
            entry = tar.gettarinfo(path, path.relative_to(folder).as_posix())
            _add_entry(tar, entry, path)
    return stream.getvalue()


def _add_entry(tar: tarfile.TarFile, entry: tarfile.TarInfo, path: Path) -> None:
    entry.mtime = 0
    entry.uid = entry.gid = 0
    entry.uname = entry.gname = ""
    if not entry.isfile():
        tar.addfile(entry)
        return
    with path.open("rb") as content:
        tar.addfile(entry, content)


if __name__ == "__main__":
    pack(*map(Path, sys.argv[1:]))
