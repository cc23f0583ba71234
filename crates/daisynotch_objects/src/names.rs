//! Names of objects, checked when they are read.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The longest name that is accepted, in bytes.
const NAME_MAX_BYTES: usize = 63;

/// Why a name was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{name}` is not a name: use 1 to 63 lower-case letters, digits and hyphens, \
     starting with a letter or digit"
)]
pub struct NameError {
    /// The text that was refused.
    pub name: String,
}

fn check_name(text: &str) -> Result<Arc<str>, NameError> {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let fits = !text.is_empty() && text.len() <= NAME_MAX_BYTES;
    if fits && text.bytes().all(allowed) && !text.starts_with('-') {
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
            /// Gives the name as text.
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
    /// A team: the unit between which capacity is shared fairly.
    TeamName
}
name_type! {
    /// A share: a weight and limits that several teams have in common.
    ShareName
}
name_type! {
    /// An endpoint pool: endpoints that can answer the same requests.
    PoolName
}
name_type! {
    /// One back end of a pool.
    EndpointName
}
name_type! {
    /// A route from what a caller asks for to a pool.
    RouteName
}
name_type! {
    /// A named set of limits.
    LimitsName
}
name_type! {
    /// A service level that the burn report covers.
    ServiceLevelName
}
name_type! {
    /// An availability zone.
    ZoneName
}
name_type! {
    /// A router process, unique in the fleet.
    RouterName
}

#[cfg(test)]
mod tests;
