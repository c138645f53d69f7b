//! Typed identifiers, used instead of plain strings and numbers across module boundaries.

use std::fmt;
use std::io::{Error, ErrorKind, Read};
use std::str::FromStr;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAXIMUM_NAME_BYTES: usize = 64;

/// Error for a name that is empty, too long or contains a character outside `[a-z0-9._-]`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "name {name:?} is not valid: use 1 to {MAXIMUM_NAME_BYTES} characters out of a-z, 0-9, '.', '_' and '-'"
)]
pub struct InvalidName {
    /// The rejected text, truncated to the maximum length.
    pub name: String,
}

fn is_name_character(character: char) -> bool {
    character.is_ascii_lowercase()
        || character.is_ascii_digit()
        || matches!(character, '.' | '_' | '-')
}

fn check_name(name: &str) -> Result<(), InvalidName> {
    let length_fits = (1..=MAXIMUM_NAME_BYTES).contains(&name.len());
    if length_fits && name.chars().all(is_name_character) {
        return Ok(());
    }
    Err(InvalidName {
        name: name.chars().take(MAXIMUM_NAME_BYTES).collect(),
    })
}

macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            BorshSerialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl BorshDeserialize for $name {
            fn deserialize_reader<R: Read>(reader: &mut R) -> std::io::Result<Self> {
                let text = String::deserialize_reader(reader)?;
                Self::new(&text).map_err(|error| Error::new(ErrorKind::InvalidData, error))
            }
        }

        impl $name {
            /// Validates a name.
            ///
            /// # Errors
            /// [`InvalidName`] if the text is empty, too long or contains an invalid character.
            pub fn new(name: &str) -> Result<Self, InvalidName> {
                check_name(name)?;
                Ok(Self(Arc::from(name)))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}({})", stringify!($name), self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;
            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// Name of a service that requests address.
    ServiceName
);
name_type!(
    /// Name of a model that engines load.
    ModelName
);
name_type!(
    /// Name of an adapter loaded on top of a model.
    AdapterName
);
name_type!(
    /// Name of a tenant, the unit of limits and fair queuing.
    TenantName
);
name_type!(
    /// Name of a priority class.
    PriorityName
);
name_type!(
    /// Name of a zone, a failure domain of machines.
    ZoneName
);
name_type!(
    /// Name of a region, a group of zones with low latency between them.
    RegionName
);
name_type!(
    /// Name of a cell, a group of engines under one controller.
    CellName
);
name_type!(
    /// Name of a pool of plain back ends that serve the same paths.
    PoolName
);

macro_rules! number_type {
    ($(#[$documentation:meta])* $name:ident, $inner:ty) => {
        $(#[$documentation])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize,
            Deserialize, BorshSerialize, BorshDeserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

number_type!(
    /// Number of a machine (daemon, engine or plain back end) in the machine list.
    MachineId,
    u32
);
number_type!(
    /// Incarnation of a process; each restart has a larger number.
    Incarnation,
    u64
);
number_type!(
    /// Fencing token: the `create_revision` of a cell controller's key. A larger token is newer.
    FencingToken,
    u64
);
number_type!(
    /// Identifier of an order. Orders with the same id are the same order, so resending is
    /// idempotent.
    OrderId,
    u64
);
number_type!(
    /// Revision in the key-value service.
    Revision,
    u64
);

macro_rules! wide_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
            Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}({:032x})", stringify!($name), self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u128::from_str_radix(text, 16).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = std::num::ParseIntError;
            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(identifier: $name) -> String {
                identifier.to_string()
            }
        }
    };
}

wide_identifier!(
    /// Identifier of a caller's request, passed along through every process.
    RequestId
);
wide_identifier!(
    /// Identifier of a configuration change. If the answer to a change is lost, the caller reads
    /// the id back to learn whether the change was applied.
    ChangeId
);
