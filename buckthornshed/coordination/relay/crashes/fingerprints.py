"""Fingerprints by which requests of equal content are recognized.

Each attempt of a client has an identifier of its own. Method, host, path, credential
and body stay the same when a request comes again, at whatever relay.
"""

from hashlib import blake2b

__all__ = ["request_fingerprint"]

FINGERPRINT_BYTES = 8


def request_fingerprint(
    head: bytes, body: bytes, credential: bytes, workspace: str = ""
) -> bytes:
    """Return the fingerprint of a request, 8 bytes.

    Parameters
    ----------
    head : bytes
        Request line and headers, names in lower case, without the final empty line.
    body : bytes
        The whole body.
    credential : bytes
        Name of the header by which a client identifies itself, in lower case.
    workspace : str
        Workspace of the request; where there are any, its head has no credential.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    request_line, _, headers = head.partition(b"\r\n")
    digest.update(request_line)
    digest.update(b"\n" + _header_value(headers, b"host").lower())
    digest.update(b"\n" + _header_value(headers, credential))
    digest.update(b"\n" + workspace.encode())
    digest.update(b"\n" + body)
    return digest.digest()


def _header_value(headers: bytes, name: bytes) -> bytes:
    """Return the value of a header, empty if there is none."""
    _, found, rest = (b"\r\n" + headers).partition(b"\r\n" + name + b": ")
    return rest.partition(b"\r\n")[0].strip() if found else b""
