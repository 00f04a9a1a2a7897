//! Memory for large bodies and frames.

use std::io;

use memmap2::{Advice, MmapMut, MmapOptions};

/// Maps `bytes` bytes, which take memory only once they are written, and return it at once when the
/// mapping is dropped. The allocator would keep the memory of a large body for the thread that has
/// freed it, so that all threads together kept a multiple of what is in use.
///
/// # Errors
///
/// Returns an error if the process has no address space for it.
pub fn allocate(bytes: usize) -> io::Result<MmapMut> {
    let mapping = MmapOptions::new().len(bytes).no_reserve_swap().map_anon()?;
    // With huge pages the first byte of each 2 MiB would take all of them. The kernel may lack the
    // option, and then has no huge pages.
    let _ = mapping.advise(Advice::NoHugePage);
    Ok(mapping)
}
