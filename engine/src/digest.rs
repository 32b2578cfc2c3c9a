//! A short digest of bytes that is the same in every build.

/// FNV-1a over 64 bits. Daemons compare it for equality only; it is no defence against crafted input.
pub fn digest(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
