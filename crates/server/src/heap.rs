//! Settings of the allocator.

/// Allocations of at least this size are mapped on their own, and are returned to the system when
/// they are freed.
const MIN_MAPPED_BYTES: libc::c_int = 1024 * 1024;
/// Free bytes at the end of the heap that stay there for the next allocations.
const KEPT_HEAP_BYTES: libc::c_int = 4 * 1024 * 1024;

/// Keeps large requests and jobs out of the heap. By default the allocator raises its limit with
/// each large allocation that is freed, and then keeps their memory.
pub(crate) fn map_large_allocations() {
    // SAFETY: mallopt sets parameters of the allocator, and takes its locks.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MIN_MAPPED_BYTES);
        libc::mallopt(libc::M_TRIM_THRESHOLD, KEPT_HEAP_BYTES);
    }
}

/// Returns free heap pages to the system. The allocator keeps them after a peak, and they
/// would count as used memory.
pub(crate) fn trim_heap() {
    // SAFETY: malloc_trim takes the allocator's locks and releases only free pages.
    unsafe {
        libc::malloc_trim(0);
    }
}
