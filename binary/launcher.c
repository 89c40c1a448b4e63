/*
 * Launcher of the single-file executable: unpacks the program that is appended to
 * this file and executes it in the same process, without starting another one.
 *
 * Layout of the file: this launcher, a gzip-compressed ustar archive, the footer.
 * The archive is unpacked once per user and build, into a directory whose name
 * contains the digest of the archive; later starts reuse that directory.
 */

#define _XOPEN_SOURCE 700

#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <sys/vfs.h>
#include <unistd.h>
#include <zlib.h>

#define PROGRAM "buckthornshed"
#define MAGIC "BTSPACK1"
#define MAGIC_BYTES 8
#define DIGEST_DIGITS 16
#define BLOCK_BYTES 512
#define BUFFER_BYTES 65536
#define TMPFS_TYPE 0x01021994
#define RAMFS_TYPE 0x858458f6
#define OPEN_DIRECTORIES 16
#define NO_EXEC_FLAG 8 /* ST_NOEXEC, which POSIX does not define */
#define EXIT_UNUSABLE 2

/* Last bytes of the file; the archive size is little-endian. */
struct footer {
    char magic[MAGIC_BYTES];
    char digest[DIGEST_DIGITS];
    uint8_t archive_bytes[8];
};

/* Header block of the ustar format, POSIX.1-1988. */
struct header {
    char name[100];
    char mode[8];
    char owner[16];
    char size[12];
    char mtime[12];
    char checksum[8];
    char type;
    char link[100];
    char magic[8];
    char owner_names[64];
    char device[16];
    char prefix[155];
    char padding[12];
};

static void fail(const char *format, ...)
{
    va_list arguments;

    va_start(arguments, format);
    fputs(PROGRAM ": ", stderr);
    vfprintf(stderr, format, arguments);
    fputc('\n', stderr);
    va_end(arguments);
    exit(EXIT_UNUSABLE);
}

static void format_path(char *path, const char *format, ...)
{
    va_list arguments;
    int length;

    va_start(arguments, format);
    length = vsnprintf(path, PATH_MAX, format, arguments);
    va_end(arguments);
    if (length >= PATH_MAX)
        fail("found a path of %d bytes, expected fewer than %d", length, PATH_MAX);
}

/* Opens this executable, reads its footer and seeks to the start of the archive. */
static int open_archive(struct footer *footer)
{
    int file = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
    off_t end = lseek(file, -(off_t)sizeof *footer, SEEK_END);
    uint64_t archive_bytes = 0;

    if (file < 0 || end < 0 ||
        read(file, footer, sizeof *footer) != (ssize_t)sizeof *footer)
        fail("/proc/self/exe: %s", strerror(errno));
    if (memcmp(footer->magic, MAGIC, MAGIC_BYTES) != 0)
        fail("found no archive at the end of the file, expected one");
    for (int index = 7; index >= 0; index--)
        archive_bytes = archive_bytes << 8 | footer->archive_bytes[index];
    if (lseek(file, end - (off_t)archive_bytes, SEEK_SET) < 0)
        fail("found an archive of %ju bytes, expected fewer than in the file",
             (uintmax_t)archive_bytes);
    return file;
}

static int is_usable(const char *directory, int in_memory)
{
    struct statfs filesystem;
    struct statvfs mount;

    if (directory == NULL || access(directory, W_OK | X_OK) != 0)
        return 0;
    if (statfs(directory, &filesystem) != 0 || statvfs(directory, &mount) != 0)
        return 0;
    if (mount.f_flag & NO_EXEC_FLAG)
        return 0;
    return !in_memory || filesystem.f_type == TMPFS_TYPE ||
           filesystem.f_type == RAMFS_TYPE;
}

/* Returns the directory to unpack in: an in-memory file system if there is one. */
static const char *choose_base(void)
{
    const char *configured = getenv("BUCKTHORNSHED_UNPACK_DIR");
    const char *bases[] = {getenv("XDG_RUNTIME_DIR"), "/run", "/tmp"};
    const size_t count = sizeof bases / sizeof *bases;

    if (configured != NULL)
        return configured;
    for (int in_memory = 1; in_memory >= 0; in_memory--)
        for (size_t index = 0; index < count; index++)
            if (is_usable(bases[index], in_memory))
                return bases[index];
    fail("found no directory to unpack in, expected one that is writable and "
         "allows execution; set BUCKTHORNSHED_UNPACK_DIR");
    return NULL;
}

/*
 * Returns whether `path` exists. Fails unless it is a directory that belongs to this
 * user and that no other user can access, as its content is executed.
 */
static int is_unpacked(const char *path)
{
    struct stat status;

    if (lstat(path, &status) != 0)
        return 0;
    if (!S_ISDIR(status.st_mode) || status.st_uid != geteuid() ||
        (status.st_mode & (S_IRWXG | S_IRWXO)) != 0)
        fail("%s: found something of another owner or mode, expected a directory "
             "of mode 0700 of this user", path);
    return 1;
}

static void read_exactly(gzFile archive, void *buffer, unsigned length)
{
    if (gzread(archive, buffer, length) != (int)length)
        fail("found a damaged archive, expected a complete one");
}

static void write_file(gzFile archive, const char *path, mode_t mode, size_t size)
{
    static char buffer[BUFFER_BYTES];
    int file = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode & 0700);

    if (file < 0)
        fail("%s: %s", path, strerror(errno));
    for (size_t remaining = size; remaining > 0;) {
        size_t part = remaining < sizeof buffer ? remaining : sizeof buffer;

        read_exactly(archive, buffer, (unsigned)part);
        errno = ENOSPC; /* A short write does not set errno. */
        if (write(file, buffer, part) != (ssize_t)part)
            fail("%s: %s", path, strerror(errno));
        remaining -= part;
    }
    close(file);
    if (size % BLOCK_BYTES != 0)
        read_exactly(archive, buffer, BLOCK_BYTES - size % BLOCK_BYTES);
}

static void unpack_entry(gzFile archive, const struct header *entry, const char *base)
{
    char path[PATH_MAX];
    char link[sizeof entry->link + 1] = "";
    mode_t mode = (mode_t)strtoul(entry->mode, NULL, 8);
    const char *slash = entry->prefix[0] != '\0' ? "/" : "";

    format_path(path, "%s/%.155s%s%.100s", base, entry->prefix, slash, entry->name);
    memcpy(link, entry->link, sizeof entry->link);
    switch (entry->type) {
    case '0':
        write_file(archive, path, mode, strtoul(entry->size, NULL, 8));
        return;
    case '2':
        if (symlink(link, path) != 0)
            fail("%s: %s", path, strerror(errno));
        return;
    case '5':
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            fail("%s: %s", path, strerror(errno));
        return;
    default:
        fail("%s: found entry type %c, expected 0, 2 or 5", path, entry->type);
    }
}

static void unpack(int file, const char *base)
{
    gzFile archive = gzdopen(file, "rb");
    struct header entry;
    int length;

    if (archive == NULL)
        fail("found not enough memory, expected enough to unpack the archive");
    for (;;) {
        read_exactly(archive, &entry, sizeof entry);
        if (entry.name[0] == '\0')
            break;
        unpack_entry(archive, &entry, base);
    }
    do /* gzread verifies the checksum at the end of the archive. */
        length = gzread(archive, &entry, sizeof entry);
    while (length > 0);
    if (length < 0)
        fail("found a damaged archive, expected a complete one");
    gzclose(archive);
}

static int remove_entry(const char *path, const struct stat *status, int type,
                        struct FTW *position)
{
    (void)status;
    (void)type;
    (void)position;
    return remove(path);
}

/* Unpacks to a temporary directory and renames it, so that `path` is never partial. */
static void unpack_atomically(int file, const char *path)
{
    char temporary[PATH_MAX];

    format_path(temporary, "%s.XXXXXX", path);
    if (mkdtemp(temporary) == NULL)
        fail("%s: %s", temporary, strerror(errno));
    unpack(file, temporary);
    if (rename(temporary, path) == 0)
        return;
    /* A concurrent start has created `path`: use that directory. */
    nftw(temporary, remove_entry, OPEN_DIRECTORIES, FTW_DEPTH | FTW_PHYS);
    if (!is_unpacked(path))
        fail("%s: %s", path, strerror(errno));
}

int main(int count, char **arguments)
{
    struct footer footer;
    char path[PATH_MAX];
    char program[PATH_MAX];
    int file = open_archive(&footer);

    (void)count;
    format_path(path, "%s/" PROGRAM "-%u-%.*s", choose_base(), (unsigned)geteuid(),
         DIGEST_DIGITS, footer.digest);
    if (!is_unpacked(path))
        unpack_atomically(file, path);
    format_path(program, "%s/" PROGRAM, path);
    execv(program, arguments);
    fail("%s: %s", program, strerror(errno));
    return EXIT_UNUSABLE;
}
