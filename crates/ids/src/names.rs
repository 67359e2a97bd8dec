//! Checked names.

use std::str::FromStr;

use compact_str::{format_compact, CompactString};
use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};

/// Longest name, in bytes.
pub const NAME_LIMIT_BYTES: usize = 64;
/// Separator of domain, VM and start in an incarnation.
const INCARNATION_SEPARATOR: char = '~';

/// Reason why a text is no name.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum NameError {
    /// Text is empty.
    #[display("must not be empty")]
    Empty,
    /// Text is too long.
    #[display("must have at most {_0} bytes")]
    TooLong(usize),
    /// Text holds a character that names don't have.
    #[display("must not hold {_0:?}; allowed are letters, digits and {_1}")]
    InvalidCharacter(char, &'static str),
}

impl std::error::Error for NameError {}

/// Checks a text against a limit and a set of extra characters.
pub(crate) fn check_name(
    text: &str,
    limit_bytes: usize,
    extra: &'static str,
) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > limit_bytes {
        return Err(NameError::TooLong(limit_bytes));
    }
    match text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !extra.contains(*c))
    {
        Some(c) => Err(NameError::InvalidCharacter(c, extra)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $extra:literal) => {
        $(#[$doc])*
        #[derive(
            AsRef, Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(try_from = "CompactString")]
        pub struct $name(#[as_ref(str)] CompactString);

        impl $name {
            /// Text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text, NAME_LIMIT_BYTES, $extra)?;
                Ok(Self(CompactString::new(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = NameError;

            fn try_from(text: CompactString) -> Result<Self, NameError> {
                check_name(&text, NAME_LIMIT_BYTES, $extra)?;
                Ok(Self(text))
            }
        }
    };
}

name!(
    /// Client account.
    AccountName,
    "-._"
);
name!(
    /// Failure domain.
    DomainName,
    "-._"
);
name!(
    /// One run of one VM's daemon.
    Incarnation,
    "-._~"
);
name!(
    /// Market.
    MarketName,
    "-._"
);
name!(
    /// Model.
    ModelName,
    "-._"
);
name!(
    /// Plain service.
    ServiceName,
    "-._"
);
name!(
    /// Target.
    TargetName,
    "-._"
);
name!(
    /// Entry VM.
    VmName,
    "-._"
);

impl Incarnation {
    /// Incarnation of a VM's daemon that starts now.
    ///
    /// # Errors
    ///
    /// Fails when the names are too long together.
    pub fn new(domain: &DomainName, vm: &VmName, started_ms: u64) -> Result<Self, NameError> {
        let text = format_compact!(
            "{domain}{INCARNATION_SEPARATOR}{vm}{INCARNATION_SEPARATOR}{started_ms:x}"
        );
        text.try_into()
    }

    /// Prefix of all incarnations in a failure domain.
    pub fn domain_prefix(domain: &DomainName) -> String {
        format!("{domain}{INCARNATION_SEPARATOR}")
    }
}
