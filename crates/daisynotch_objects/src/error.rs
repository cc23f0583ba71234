//! Errors that name the object and say how to mend it.

use std::fmt;

/// The kinds of object that operators write.
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

/// Names one object, written `kind/name`.
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
    /// Names an object.
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

/// Why a text is not a set of objects.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the objects can't be read: {0}")]
pub struct ParseError(pub String);

/// Why a set of objects may not be published.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CheckError {
    /// An object refers to another that doesn't exist.
    #[error("{from} refers to {to}, which does not exist: add {to} or change the reference")]
    MissingReference {
        /// The object that refers.
        from: ObjectRef,
        /// The object that is missing.
        to: ObjectRef,
    },
    /// Two names of one kind have the same identifier.
    #[error("{first} and {second} have the same identifier: rename one of them")]
    SameIdentifier {
        /// One of the two.
        first: ObjectRef,
        /// The other one.
        second: ObjectRef,
    },
    /// Two teams could not be told apart by a credential.
    #[error("{first} and {second} have the same credential: give each team its own")]
    SameCredential {
        /// One of the two.
        first: ObjectRef,
        /// The other one.
        second: ObjectRef,
    },
    /// Two routes answer to the same model or path prefix.
    #[error("{first} and {second} both take `{what}`: change one of them")]
    SameRoute {
        /// One of the two.
        first: ObjectRef,
        /// The other one.
        second: ObjectRef,
        /// The model or path prefix that both take.
        what: String,
    },
    /// A field has a value that can't be used.
    #[error("{object}: `{field}` {problem}")]
    BadField {
        /// The object that has the field.
        object: ObjectRef,
        /// The field's name.
        field: &'static str,
        /// What is wrong and how to mend it.
        problem: String,
    },
}
