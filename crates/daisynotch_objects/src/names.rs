//! Names of objects, validated when parsed.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The maximum length of a name, in bytes.
const NAME_MAX_BYTES: usize = 63;

/// The text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{name}` is not a name: use 1 to 63 lower-case letters, digits and hyphens, \
     starting with a letter or digit"
)]
pub struct NameError {
    /// The rejected text, truncated to one character more than the longest valid name.
    pub name: String,
}

fn check_name(text: &str) -> Result<Arc<str>, NameError> {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let valid_length = !text.is_empty() && text.len() <= NAME_MAX_BYTES;
    if valid_length && text.bytes().all(allowed) && !text.starts_with('-') {
        return Ok(Arc::from(text));
    }
    Err(NameError {
        name: text.chars().take(NAME_MAX_BYTES + 1).collect(),
    })
}

macro_rules! name_type {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

name_type! {
    /// A team: capacity is shared fairly between teams.
    TeamName
}
name_type! {
    /// A share: a weight and limits that several teams have in common.
    ShareName
}
name_type! {
    /// An endpoint pool: a group of interchangeable endpoints that serve the same requests.
    PoolName
}
name_type! {
    /// An endpoint: a backend server of a pool.
    EndpointName
}
name_type! {
    /// A route: maps a model name or a path prefix to a pool.
    RouteName
}
name_type! {
    /// A named set of limits.
    LimitsName
}
name_type! {
    /// A service level objective, measured by the burn report.
    ServiceLevelName
}
name_type! {
    /// An availability zone.
    ZoneName
}
name_type! {
    /// A router process. The name is unique in the fleet.
    RouterName
}

#[cfg(test)]
mod tests;
