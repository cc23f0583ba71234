//! Errors that identify the object concerned and state how to fix it.

use std::fmt;

/// The kinds of object that operators define.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A weight and limits that teams have in common.
    Share,
    /// A team.
    Team,
    /// An endpoint pool.
    Pool,
    /// An endpoint.
    Endpoint,
    /// A route.
    Route,
    /// A set of limits.
    Limits,
    /// A service level.
    ServiceLevel,
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Share => "share",
            Self::Team => "team",
            Self::Pool => "pool",
            Self::Endpoint => "endpoint",
            Self::Route => "route",
            Self::Limits => "limits",
            Self::ServiceLevel => "service_level",
        })
    }
}

/// A reference to an object, written `kind/name`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct ObjectRef {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name.
    pub name: String,
}

impl ObjectRef {
    /// Creates a reference to an object.
    pub fn new(kind: ObjectKind, name: impl fmt::Display) -> Self {
        Self {
            kind,
            name: name.to_string(),
        }
    }
}

impl fmt::Display for ObjectRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// The objects can't be parsed from TOML or serialized to it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the objects can't be read: {0}")]
pub struct ParseError(pub String);

/// A reason why a set of objects can't be published.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CheckError {
    /// An object refers to another that doesn't exist.
    #[error("{from} refers to {to}, which does not exist: add {to} or change the reference")]
    MissingReference {
        /// The object that holds the reference.
        from: ObjectRef,
        /// The object that is missing.
        to: ObjectRef,
    },
    /// Two names of one kind have the same identifier.
    #[error("{first} and {second} have the same identifier: rename one of them")]
    SameIdentifier {
        /// One of the two objects.
        first: ObjectRef,
        /// The other object.
        second: ObjectRef,
    },
    /// Two teams have the same credential, so a caller's team would be ambiguous.
    #[error("{first} and {second} have the same credential: give each team its own")]
    SameCredential {
        /// One of the two objects.
        first: ObjectRef,
        /// The other object.
        second: ObjectRef,
    },
    /// Two routes match the same model or path prefix.
    #[error("{first} and {second} both take `{what}`: change one of them")]
    SameRoute {
        /// One of the two objects.
        first: ObjectRef,
        /// The other object.
        second: ObjectRef,
        /// The model or path prefix that both routes match.
        what: String,
    },
    /// A field has an invalid value.
    #[error("{object}: `{field}` {problem}")]
    BadField {
        /// The object that has the field.
        object: ObjectRef,
        /// The field's name.
        field: &'static str,
        /// What is wrong with the value and how to fix it.
        problem: String,
    },
}
