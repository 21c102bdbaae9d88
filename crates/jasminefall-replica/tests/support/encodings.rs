//! Comparison with the encodings of the previous release, which are stored as lines of `NAME HEX`.

use std::fmt::Debug;

/// Bytes that a later release may append to an encoding.
const APPENDED: &[u8] = &[1, 7, 0xff, 0xff, 0xff, 0xff];

/// Asserts that samples are encoded exactly as in `stored`, in the same order.
pub(crate) fn assert_written<T>(
    stored: &str,
    samples: &[(&str, T)],
    encode: impl Fn(&T) -> Vec<u8>,
) {
    assert_names(stored, samples);
    for ((name, sample), (_, stored)) in samples.iter().zip(parse(stored)) {
        assert_eq!(to_hex(&encode(sample)), to_hex(&stored), "{name}");
    }
}

/// Asserts that the bytes in `stored` are decoded to the samples.
pub(crate) fn assert_read<T: PartialEq + Debug>(
    stored: &str,
    samples: &[(&str, T)],
    decode: impl Fn(&[u8]) -> T,
) {
    assert_names(stored, samples);
    for ((name, sample), (_, stored)) in samples.iter().zip(parse(stored)) {
        assert_eq!(decode(&stored), *sample, "{name}");
    }
}

/// Asserts that the bytes after an encoding are ignored, so that a later release may append to it.
pub(crate) fn assert_appended_bytes_are_ignored<T: PartialEq + Debug>(
    samples: &[(&str, T)],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    for (name, sample) in samples {
        let mut bytes = encode(sample);
        bytes.extend(APPENDED);
        assert_eq!(decode(&bytes), *sample, "{name}");
    }
}

fn assert_names<T>(stored: &str, samples: &[(&str, T)]) {
    let stored: Vec<_> = parse(stored).map(|(name, _)| name).collect();
    let names: Vec<_> = samples.iter().map(|(name, _)| *name).collect();
    assert_eq!(stored, names);
}

/// Returns the names and bytes of stored encodings.
pub(crate) fn parse(stored: &str) -> impl Iterator<Item = (&str, Vec<u8>)> {
    stored.lines().map(|line| {
        let (name, hex) = line.split_once(' ').expect("a line is `NAME HEX`");
        (name, from_hex(hex))
    })
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    let byte = |digits| {
        let digits = std::str::from_utf8(digits).expect("the digits are ASCII");
        u8::from_str_radix(digits, 16).expect("the digits are hexadecimal")
    };
    digits.map(byte).collect()
}
