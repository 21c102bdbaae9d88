//! Messages with an optional extension.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Holds a message and an extension that follows it.
///
/// A release that doesn't know the extension reads the message and ignores the bytes after it; a message
/// of such a release is read without an extension.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Extended<T, E> {
    /// The message.
    pub message: T,
    /// The extension, if the sender knows it.
    pub extension: Option<E>,
}

impl<T, E> Extended<T, E> {
    /// Creates a message without an extension.
    #[must_use]
    pub const fn new(message: T) -> Self {
        Self {
            message,
            extension: None,
        }
    }

    /// Adds the extension.
    #[must_use]
    pub fn with_extension(self, extension: E) -> Self {
        Self {
            extension: Some(extension),
            ..self
        }
    }
}

impl<T: Serialize, E: Serialize> Serialize for Extended<T, E> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let length = 1 + usize::from(self.extension.is_some());
        let mut parts = serializer.serialize_tuple(length)?;
        parts.serialize_element(&self.message)?;
        if let Some(extension) = &self.extension {
            parts.serialize_element(extension)?;
        }
        parts.end()
    }
}

impl<'de, T: Deserialize<'de>, E: Deserialize<'de>> Deserialize<'de> for Extended<T, E> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(2, ExtendedVisitor(PhantomData))
    }
}

struct ExtendedVisitor<T, E>(PhantomData<(T, E)>);

impl<'de, T: Deserialize<'de>, E: Deserialize<'de>> Visitor<'de> for ExtendedVisitor<T, E> {
    type Value = Extended<T, E>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a message that an extension may follow")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<Self::Value, A::Error> {
        let message = parts.next_element()?;
        Ok(Extended {
            message: message.ok_or_else(|| A::Error::invalid_length(0, &self))?,
            // The encoding ends after the message if its sender knows no extension.
            extension: parts.next_element().unwrap_or(None),
        })
    }
}
