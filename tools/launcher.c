/* Unpack the program that is appended to this file, and become it.
 *
 * The files go to a directory of a memory file system that is named by
 * user and digest, so later starts find it there. execv() keeps the
 * process id; no other process is started.
 *
 * Layout at the end of the file: payload, its offset (8 bytes, little
 * endian), its digest (16 characters), MAGIC. The payload is a list of
 * entries: path length (4), mode (4), size (8), path, data.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#define NAME "primroseledge"
#define MAGIC "PRLEDGE1"
#define DIGEST_BYTES 16
#define FOOTER_BYTES (8 + DIGEST_BYTES + 8)
#define UNPACK_VARIABLE "PRIMROSELEDGE_UNPACK_DIR"
#define DEFAULT_BASE "/tmp"
#define EXIT_CANNOT_START 4

struct footer {
    uint64_t offset;
    char digest[DIGEST_BYTES];
    char magic[8];
};

struct __attribute__((packed)) entry {
    uint32_t path_bytes;
    uint32_t mode;
    uint64_t size;
};

static void fail(const char *what)
{
    fprintf(stderr,
            NAME ": %s: %s; set " UNPACK_VARIABLE
                 " to a memory file system with 100 MB free\n",
            what, strerror(errno));
    exit(EXIT_CANNOT_START);
}

static void join(char *out, const char *directory, const char *name)
{
    if (snprintf(out, PATH_MAX, "%s/%s", directory, name) >= PATH_MAX) {
        errno = ENAMETOOLONG;
        fail(directory);
    }
}

static void write_file(const char *path, const char *data, size_t size,
                       mode_t mode)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
    if (fd < 0)
        fail(path);
    while (size > 0) {
        ssize_t written = write(fd, data, size);
        if (written < 0)
            fail(path);
        data += written;
        size -= (size_t)written;
    }
    if (close(fd) < 0)
        fail(path);
}

static void unpack_entry(const char *path, const struct entry *entry,
                         const char *data)
{
    char target[PATH_MAX];

    if (S_ISDIR(entry->mode)) {
        if (mkdir(path, 0700) < 0)
            fail(path);
    } else if (S_ISLNK(entry->mode)) {
        snprintf(target, sizeof(target), "%.*s", (int)entry->size, data);
        if (symlink(target, path) < 0)
            fail(path);
    } else {
        write_file(path, data, entry->size, entry->mode & 0700);
    }
}

static void unpack(const char *directory, const char *payload,
                   const char *end)
{
    char name[PATH_MAX], path[PATH_MAX];
    struct entry entry;

    while (payload < end) {
        memcpy(&entry, payload, sizeof(entry));
        payload += sizeof(entry);
        snprintf(name, sizeof(name), "%.*s", (int)entry.path_bytes, payload);
        payload += entry.path_bytes;
        join(path, directory, name);
        unpack_entry(path, &entry, payload);
        payload += entry.size;
    }
}

static int remove_entry(const char *path, const struct stat *info, int type,
                        struct FTW *walk)
{
    (void)info;
    (void)type;
    (void)walk;
    return remove(path);
}

/* A directory of another user, or open to others, is not trusted. */
static int is_trusted(const char *directory)
{
    struct stat info;

    if (lstat(directory, &info) < 0)
        return 0;
    if (!S_ISDIR(info.st_mode) || info.st_uid != geteuid()
        || (info.st_mode & 0077) != 0) {
        errno = EPERM;
        fail(directory);
    }
    return 1;
}

static void prepare(const char *base, const char *directory,
                    const char *payload, const char *end)
{
    char temporary[PATH_MAX];

    if (is_trusted(directory))
        return;
    join(temporary, base, NAME "-unpack-XXXXXX");
    if (mkdtemp(temporary) == NULL)
        fail(base);
    unpack(temporary, payload, end);
    if (rename(temporary, directory) == 0)
        return;
    if (errno != EEXIST && errno != ENOTEMPTY)
        fail(directory);
    /* Another process was faster. */
    nftw(temporary, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
    is_trusted(directory);
}

int main(int argc, char **argv)
{
    const char *base = getenv(UNPACK_VARIABLE);
    char name[64], directory[PATH_MAX], program[PATH_MAX];
    struct footer footer;
    struct stat info;
    (void)argc;

    if (base == NULL || *base == '\0')
        base = DEFAULT_BASE;
    int fd = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
    if (fd < 0 || fstat(fd, &info) < 0)
        fail("/proc/self/exe");
    char *file = mmap(NULL, (size_t)info.st_size, PROT_READ, MAP_PRIVATE,
                      fd, 0);
    if (file == MAP_FAILED)
        fail("/proc/self/exe");
    const char *end = file + info.st_size - FOOTER_BYTES;
    memcpy(&footer, end, FOOTER_BYTES);
    if (memcmp(footer.magic, MAGIC, sizeof(footer.magic)) != 0) {
        errno = ENOEXEC;
        fail("no payload");
    }
    snprintf(name, sizeof(name), NAME "-%u-%.*s", (unsigned)geteuid(),
             DIGEST_BYTES, footer.digest);
    join(directory, base, name);
    prepare(base, directory, file + footer.offset, end);
    join(program, directory, NAME);
    execv(program, argv);
    fail(program);
}
