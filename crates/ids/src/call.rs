//! Programs and their calls.
//!
//! A program spawned by another carries its parent's identifier before its
//! own, separated by `/`. The part before the first `/` names the family,
//! which has one owner.

use std::str::FromStr;

use compact_str::{format_compact, CompactString};
use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};

use crate::names::{check_name, Incarnation, NameError};

/// Longest program identifier, in bytes.
const PROGRAM_LIMIT_BYTES: usize = 200;
const FAMILY_SEPARATOR: char = '/';
/// Separator of issuer and number in an identifier that a VM issued.
const ISSUER_SEPARATOR: char = ':';

/// Program, with its ancestors.
#[derive(
    AsRef, Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "CompactString")]
pub struct ProgramId(#[as_ref(str)] CompactString);

impl ProgramId {
    /// Text of the identifier.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// First ancestor, which decides the owner.
    pub fn family(&self) -> &str {
        self.0
            .split(FAMILY_SEPARATOR)
            .next()
            .unwrap_or(self.0.as_str())
    }

    /// Identifier that an incarnation issues; no other one can.
    ///
    /// # Errors
    ///
    /// Fails when the text is too long.
    pub fn issued(issuer: &Incarnation, count: u64) -> Result<ProgramId, NameError> {
        format_compact!("{issuer}{ISSUER_SEPARATOR}{count:x}").try_into()
    }

    /// Incarnation that issued the family's identifier.
    pub fn issuer(&self) -> Option<Incarnation> {
        let (issuer, _) = self.family().split_once(ISSUER_SEPARATOR)?;
        issuer.parse().ok()
    }

    /// Program that spawned this one.
    pub fn parent(&self) -> Option<ProgramId> {
        let (parent, _) = self.0.rsplit_once(FAMILY_SEPARATOR)?;
        Some(ProgramId(CompactString::new(parent)))
    }

    /// Identifier of a program spawned by `parent`.
    ///
    /// An identifier that already begins with the parent's stays as it is.
    ///
    /// # Errors
    ///
    /// Fails when the joined identifier is too long.
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
        check_name(&text, PROGRAM_LIMIT_BYTES, "-._~:/")?;
        if text.split(FAMILY_SEPARATOR).any(str::is_empty) {
            return Err(NameError::Empty);
        }
        Ok(Self(text))
    }
}

/// One call of a program.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{program}#{number}")]
pub struct CallKey {
    /// Program.
    pub program: ProgramId,
    /// Number of the call in its program, from 1.
    pub number: u32,
}
