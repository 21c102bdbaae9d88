//! Authentication of operators by bearer tokens, each with a role.
//!
//! The settings contain the SHA-256 hash of each token, never the token itself.

use std::fmt;
use std::str::FromStr;

use jasminefall_core::prelude::*;
use sha2::{Digest, Sha256};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

const HASH_BYTES: usize = 32;
/// The kind of the sections that declare tokens, as in `[token.NAME]`.
const SECTION_KIND: &str = "token";
const HASH_EXAMPLE: &str = "the 64 hexadecimal digits that sha256sum prints for the token";

/// Represents the permissions of an operator; a greater role includes the smaller ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// May read the state of the site.
    Read,
    /// May read and change the state of the site.
    Operate,
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Read => "read",
            Self::Operate => "operate",
        })
    }
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "read" => Ok(Self::Read),
            "operate" => Ok(Self::Operate),
            _ => Err(format!("`{text}` is not a role; use read or operate")),
        }
    }
}

/// Identifies an authenticated operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// The name in the token's section, `[token.NAME]`.
    pub name: SmolStr,
    /// The permissions of the operator.
    pub role: Role,
}

/// Holds the SHA-256 hash of a token.
#[derive(Clone, Copy, PartialEq, Eq)]
struct TokenHash([u8; HASH_BYTES]);

impl TokenHash {
    fn from_secret(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }
}

impl FromStr for TokenHash {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || format!("this is not {HASH_EXAMPLE}");
        if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
            return Err(error());
        }
        let mut hash = [0; HASH_BYTES];
        for (position, byte) in hash.iter_mut().enumerate() {
            let digits = &text[2 * position..2 * position + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Self(hash))
    }
}

/// Holds the token hashes that a daemon accepts; `Debug` omits the hashes.
#[derive(Clone, Default)]
pub struct Tokens(Vec<(TokenHash, Operator)>);

impl fmt::Debug for Tokens {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let operators = self.0.iter().map(|(_, operator)| operator);
        formatter.debug_list().entries(operators).finish()
    }
}

impl Tokens {
    /// Reads the sections `[token.NAME]`; adds a problem if there is none or two share a token.
    #[must_use]
    pub fn read(file: &str, document: &Document, problems: &mut Problems) -> Self {
        let mut tokens = Self::default();
        for (name, section) in document.sections_of_kind(SECTION_KIND) {
            section.refuse_unknown_keys(&["sha256", "role"], problems);
            let hash = section.read_required("sha256", HASH_EXAMPLE, problems);
            let role = section.read_required("role", "operate", problems);
            let (Some(hash), Some(role)) = (hash, role) else {
                continue;
            };
            if tokens.0.iter().any(|(known, _)| *known == hash) {
                let remedy = "give each operator a token of their own";
                problems.add(
                    section.place("sha256"),
                    "two operators have the same token",
                    remedy,
                );
            }
            let name = name.into();
            tokens.0.push((hash, Operator { name, role }));
        }
        if document.sections_of_kind(SECTION_KIND).next().is_none() {
            let place = Place {
                file: file.into(),
                section: "token.NAME".into(),
                ..Place::default()
            };
            let remedy = "add [token.NAME] with `sha256 = ` and `role = read` or `role = operate`";
            problems.add(place, "no operator token is declared", remedy);
        }
        tokens
    }

    /// Returns the operator with this token, in constant time so that timing reveals no token.
    #[must_use]
    pub fn authenticate(&self, secret: &[u8]) -> Option<&Operator> {
        let presented = TokenHash::from_secret(secret);
        let mut found = u64::MAX;
        for (position, (hash, _)) in (0_u64..).zip(&self.0) {
            let is_equal: Choice = hash.0.ct_eq(&presented.0);
            found.conditional_assign(&position, is_equal);
        }
        let position = usize::try_from(found).ok()?;
        self.0.get(position).map(|(_, operator)| operator)
    }
}
