/* Preloaded library that simulates suspension of the machine for one process: CLOCK_BOOTTIME
 * advances by the suspended time, other clocks do not. SUSPENDED_MS names a file that is mapped
 * into this process and holds the total suspended time, in ms. */
#define _GNU_SOURCE
#include <fcntl.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static volatile const long *suspended_ms;

__attribute__((constructor)) static void map_suspended_ms(void) {
    int file = open(getenv("SUSPENDED_MS"), O_RDONLY);
    void *shared = mmap(0, sizeof(long), PROT_READ, MAP_SHARED, file, 0);
    if (shared == MAP_FAILED)
        abort();
    suspended_ms = shared;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int failed = syscall(SYS_clock_gettime, clock, now);
    if (failed || clock != CLOCK_BOOTTIME || !suspended_ms)
        return failed;
    long nanos = now->tv_nsec + *suspended_ms % 1000 * 1000000;
    now->tv_sec += *suspended_ms / 1000 + nanos / 1000000000;
    now->tv_nsec = nanos % 1000000000;
    return 0;
}
