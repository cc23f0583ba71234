//! Credentials, stored only as digests: a leaked copy of the objects grants no access.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// The SHA-256 digest of a caller's bearer token, written as 64 hex digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct CredentialDigest([u8; 32]);

/// The text is not a valid credential digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "a credential is the 64 hex digits of a token's SHA-256; `daisynotch credential` prints them"
)]
pub struct DigestError;

impl CredentialDigest {
    /// Computes the digest of a bearer token exactly as a caller sends it.
    pub fn of_token(token: &[u8]) -> Self {
        Self(Sha256::digest(token).into())
    }
}

impl fmt::Display for CredentialDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for CredentialDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for CredentialDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(DigestError);
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| DigestError)?;
        }
        Ok(Self(digest))
    }
}

impl TryFrom<String> for CredentialDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<CredentialDigest> for String {
    fn from(digest: CredentialDigest) -> Self {
        digest.to_string()
    }
}
