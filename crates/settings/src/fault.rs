//! Errors in the settings.

use std::fmt;

/// An invalid or missing setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Dotted key, such as `listen.gateway`.
    pub key: String,
    /// The value found; `None` if the key is missing.
    pub value: Option<String>,
    /// Description of the problem and its remedy.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(formatter, "{} = {value}: {}", self.key, self.remedy),
            None => write!(formatter, "{}: {}", self.key, self.remedy),
        }
    }
}

/// All faults found in the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the settings have {} fault(s):", self.0.len())?;
        for fault in &self.0 {
            write!(formatter, "\n  {fault}")?;
        }
        Ok(())
    }
}
