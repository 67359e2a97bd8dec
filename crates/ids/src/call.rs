//! Identifiers of programs and their calls.
//!
//! A family is a root program and its descendants. The identifier of a
//! program is its parent's identifier, a `/` and its own name, so the part
//! before the first `/` names the family. All programs of a family have the
//! same owner.

use std::str::FromStr;

use compact_str::{format_compact, CompactString};
use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};

use crate::names::{validate_name, Incarnation, NameError};

/// Maximum length of a program identifier with its ancestors, in bytes.
const PROGRAM_ID_LIMIT_BYTES: usize = 200;
const FAMILY_SEPARATOR: char = '/';
/// Separates the issuing incarnation and the count in an issued identifier.
const ISSUER_SEPARATOR: char = ':';

/// Identifier of a program, with those of its ancestors.
#[derive(
    AsRef, Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "CompactString")]
pub struct ProgramId(#[as_ref(str)] CompactString);

impl ProgramId {
    /// Identifier as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Name of the family, which is the identifier of the root program.
    pub fn family(&self) -> &str {
        self.0
            .split(FAMILY_SEPARATOR)
            .next()
            .unwrap_or(self.0.as_str())
    }

    /// Identifier issued by an incarnation for a root program.
    ///
    /// It contains the issuer, so no two incarnations issue the same one; an
    /// incarnation must not repeat a `count`.
    ///
    /// # Errors
    ///
    /// Fails if the identifier exceeds the length limit.
    pub fn issued(issuer: &Incarnation, count: u64) -> Result<ProgramId, NameError> {
        format_compact!("{issuer}{ISSUER_SEPARATOR}{count:x}").try_into()
    }

    /// Incarnation that issued the identifier of the root program; `None` if the caller chose it.
    pub fn issuer(&self) -> Option<Incarnation> {
        let (issuer, _) = self.family().split_once(ISSUER_SEPARATOR)?;
        issuer.parse().ok()
    }

    /// Identifier of the parent; `None` for a root program.
    pub fn parent(&self) -> Option<ProgramId> {
        let (parent, _) = self.0.rsplit_once(FAMILY_SEPARATOR)?;
        Some(ProgramId(CompactString::new(parent)))
    }

    /// Identifier of this program as a child of `parent`.
    ///
    /// An identifier that already names `parent` as its parent is unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the joined identifier exceeds the length limit.
    pub fn with_parent(&self, parent: &ProgramId) -> Result<ProgramId, NameError> {
        if self.parent().as_ref() == Some(parent) {
            return Ok(self.clone());
        }
        format_compact!("{parent}{FAMILY_SEPARATOR}{self}").try_into()
    }
}

impl FromStr for ProgramId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        CompactString::new(text).try_into()
    }
}

impl TryFrom<CompactString> for ProgramId {
    type Error = NameError;

    fn try_from(text: CompactString) -> Result<Self, NameError> {
        validate_name(&text, PROGRAM_ID_LIMIT_BYTES, "-._~:/")?;
        if text.split(FAMILY_SEPARATOR).any(str::is_empty) {
            return Err(NameError::Empty);
        }
        Ok(Self(text))
    }
}

/// Identifier of one call of a program.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{program}#{number}")]
pub struct CallKey {
    /// Program that the call belongs to.
    pub program: ProgramId,
    /// Number of the call in its program, from 1.
    pub number: u32,
}
