//! Validated names.

use std::str::FromStr;

use compact_str::{format_compact, CompactString};
use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const NAME_LIMIT_BYTES: usize = 64;
/// Separates the failure domain, the VM and the start time in an incarnation.
const INCARNATION_SEPARATOR: char = '~';

/// Reason why a string is not a valid name.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum NameError {
    /// String is empty.
    #[display("must not be empty")]
    Empty,
    /// String is longer than this many bytes.
    #[display("must have at most {_0} bytes")]
    TooLong(usize),
    /// String contains this character; the second field lists the allowed punctuation.
    #[display("must not hold {_0:?}; allowed are letters, digits and {_1}")]
    InvalidCharacter(char, &'static str),
}

impl std::error::Error for NameError {}

/// Validates a name; `punctuation` is allowed besides ASCII letters and digits.
pub(crate) fn validate_name(
    text: &str,
    limit_bytes: usize,
    punctuation: &'static str,
) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > limit_bytes {
        return Err(NameError::TooLong(limit_bytes));
    }
    match text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !punctuation.contains(*c))
    {
        Some(c) => Err(NameError::InvalidCharacter(c, punctuation)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $punctuation:literal) => {
        $(#[$doc])*
        #[derive(
            AsRef, Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(try_from = "CompactString")]
        pub struct $name(#[as_ref(str)] CompactString);

        impl $name {
            /// Name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                validate_name(text, NAME_LIMIT_BYTES, $punctuation)?;
                Ok(Self(CompactString::new(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = NameError;

            fn try_from(text: CompactString) -> Result<Self, NameError> {
                validate_name(&text, NAME_LIMIT_BYTES, $punctuation)?;
                Ok(Self(text))
            }
        }
    };
}

name_type!(
    /// Name of a client account, to which programs are charged.
    AccountName,
    "-._"
);
name_type!(
    /// Name of a failure domain, to which VMs and targets belong.
    DomainName,
    "-._"
);
name_type!(
    /// Identifier of one run of the daemon on a VM, from start to exit.
    Incarnation,
    "-._~"
);
name_type!(
    /// Name of a market: a group of accounts with common limits, weights, models and services.
    MarketName,
    "-._"
);
name_type!(
    /// Name of a model, in the sheet and in requests.
    ModelName,
    "-._"
);
name_type!(
    /// Name of a service other than a model, such as a tool.
    ServiceName,
    "-._"
);
name_type!(
    /// Name of a target: a server that runs one model or service.
    TargetName,
    "-._"
);
name_type!(
    /// Name of a VM that runs the daemon.
    VmName,
    "-._"
);

impl Incarnation {
    /// Incarnation of the daemon that a VM started at `started_ms`, in milliseconds since the Unix
    /// epoch.
    ///
    /// # Errors
    ///
    /// Fails if the joined names exceed the length limit.
    pub fn new(domain: &DomainName, vm: &VmName, started_ms: u64) -> Result<Self, NameError> {
        let text = format_compact!(
            "{domain}{INCARNATION_SEPARATOR}{vm}{INCARNATION_SEPARATOR}{started_ms:x}"
        );
        text.try_into()
    }

    /// Common prefix of the incarnations in a failure domain.
    pub fn domain_prefix(domain: &DomainName) -> String {
        format!("{domain}{INCARNATION_SEPARATOR}")
    }
}
