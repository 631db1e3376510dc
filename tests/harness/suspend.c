/* A machine that is suspended, as one process sees it: the clock since boot goes on, the steady clock does not.
 * The milliseconds of all suspensions so far stand in a file that this process shares. */
#define _GNU_SOURCE
#include <fcntl.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static volatile const long *suspended;

__attribute__((constructor)) static void share(void) {
    int file = open(getenv("SUSPENDED_MS"), O_RDONLY);
    void *shared = mmap(0, sizeof(long), PROT_READ, MAP_SHARED, file, 0);
    if (shared == MAP_FAILED)
        abort();
    suspended = shared;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int failed = syscall(SYS_clock_gettime, clock, now);
    if (failed || clock != CLOCK_BOOTTIME || !suspended)
        return failed;
    long nanos = now->tv_nsec + *suspended % 1000 * 1000000;
    now->tv_sec += *suspended / 1000 + nanos / 1000000000;
    now->tv_nsec = nanos % 1000000000;
    return 0;
}
