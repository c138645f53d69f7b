//! Reads typed values from a TOML table, records which keys were read, and collects faults.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use toml::{Table, Value};

use crate::fault::{Fault, Faults};

/// Reads settings from a table.
///
/// Invalid values are recorded as faults and replaced by a default, so that all faults can be
/// reported together by [`Self::finish`]. `finish` also reports every key that was not read as
/// unknown.
pub struct Reader {
    table: Table,
    known: BTreeSet<String>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Creates a reader of `table`.
    #[must_use]
    pub fn new(table: Table) -> Self {
        Self {
            table,
            known: BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    /// Whether the table contains `key`. Does not count as reading it.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.find(key).is_some()
    }

    /// Records a conflict between `key` and other keys.
    pub fn report_conflict(&mut self, key: &str, remedy: String) {
        let value = self.find(key).map(Value::to_string);
        self.faults.push(Fault {
            key: key.to_owned(),
            value,
            remedy,
        });
    }

    /// Ends reading.
    ///
    /// # Errors
    /// [`Faults`] with all recorded faults, and one for each key of the table that was not read.
    pub fn finish(mut self) -> Result<(), Faults> {
        let table = std::mem::take(&mut self.table);
        self.report_unknown(&table, "");
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(Faults(self.faults))
    }

    fn report_unknown(&mut self, table: &Table, prefix: &str) {
        for (name, value) in table {
            let key = format!("{prefix}{name}");
            match value {
                Value::Table(inner) => self.report_unknown(inner, &format!("{key}.")),
                _ if self.known.contains(&key) => {}
                other => {
                    let remedy = self.unknown_key_remedy(&key);
                    self.faults.push(Fault {
                        key,
                        value: Some(other.to_string()),
                        remedy,
                    });
                }
            }
        }
    }

    fn unknown_key_remedy(&self, key: &str) -> String {
        let last_part = key.rsplit('.').next().unwrap_or(key);
        let similar = self
            .known
            .iter()
            .find(|known| known.rsplit('.').next() == Some(last_part));
        match similar {
            Some(known) => format!("there is no such key; did you mean {known}?"),
            None => String::from("there is no such key; see docs/CONFIGURATION.md, or remove it"),
        }
    }

    fn find(&self, key: &str) -> Option<&Value> {
        let mut parts = key.split('.');
        let first = self.table.get(parts.next()?)?;
        parts.try_fold(first, |value, part| value.as_table()?.get(part))
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        self.known.insert(key.to_owned());
        self.find(key).cloned()
    }

    fn fault(&mut self, key: &str, value: Option<&Value>, remedy: impl Into<String>) {
        self.faults.push(Fault {
            key: key.to_owned(),
            value: value.map(ToString::to_string),
            remedy: remedy.into(),
        });
    }

    /// Reads an integer within `range`, or `default` if the key is missing.
    pub fn number(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        match self.take(key) {
            None => default,
            Some(value) => self.number_within(key, &value, &range).unwrap_or(default),
        }
    }

    /// Reads an integer within `range`; a missing key is a fault.
    pub fn required_number(&mut self, key: &str, range: RangeInclusive<u64>) -> u64 {
        match self.take(key) {
            None => {
                let (low, high) = (range.start(), range.end());
                self.fault(
                    key,
                    None,
                    format!("is missing: set a number from {low} to {high}"),
                );
                *range.start()
            }
            Some(value) => self
                .number_within(key, &value, &range)
                .unwrap_or(*range.start()),
        }
    }

    fn number_within(
        &mut self,
        key: &str,
        value: &Value,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let number = value
            .as_integer()
            .and_then(|number| u64::try_from(number).ok());
        let within = number.filter(|number| range.contains(number));
        if within.is_none() {
            let (low, high) = (range.start(), range.end());
            self.fault(
                key,
                Some(value),
                format!("set a whole number from {low} to {high}"),
            );
        }
        within
    }

    /// Reads a duration in milliseconds. `default` and `range` are in milliseconds as well.
    pub fn milliseconds(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(key, default, range))
    }

    /// Reads an integer or floating-point number within `range`, or `default` if the key is
    /// missing.
    pub fn fraction(&mut self, key: &str, default: f64, range: RangeInclusive<f64>) -> f64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        #[expect(clippy::cast_precision_loss, reason = "settings are small numbers")]
        let integer = value.as_integer().map(|number| number as f64);
        let number = value.as_float().or(integer);
        if let Some(number) = number.filter(|number| range.contains(number)) {
            return number;
        }
        let (low, high) = (range.start(), range.end());
        self.fault(
            key,
            Some(&value),
            format!("set a number from {low} to {high}"),
        );
        default
    }

    /// Reads a boolean, or `default` if the key is missing.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        let Some(value) = self.take(key) else {
            return default;
        };
        let flag = value.as_bool();
        if flag.is_none() {
            self.fault(key, Some(&value), "set true or false, without quotes");
        }
        flag.unwrap_or(default)
    }

    /// Reads a string that parses as `T`. A missing key yields `default`, and is a fault without
    /// one.
    ///
    /// `what` describes the expected value in error messages.
    pub fn parsed<T>(&mut self, key: &str, default: Option<T>, what: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.take(key) {
            None => {
                if default.is_none() {
                    self.fault(key, None, format!("is missing: set {what}"));
                }
                default
            }
            Some(value) => self.parse_text(key, &value, what).or(default),
        }
    }

    fn parse_text<T>(&mut self, key: &str, value: &Value, what: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = value.as_str() else {
            self.fault(key, Some(value), format!("set {what}, as text in quotes"));
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.fault(key, Some(value), format!("{error}: set {what}"));
                None
            }
        }
    }

    /// Reads a list of `IP:port` strings. If `required`, a missing or empty list is a fault.
    pub fn addresses(&mut self, key: &str, required: bool) -> Vec<SocketAddr> {
        const WHAT: &str = "a list of addresses such as [\"127.0.0.1:2379\"]";
        let Some(value) = self.take(key) else {
            if required {
                self.fault(key, None, format!("is missing: set {WHAT}"));
            }
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.fault(key, Some(&value), format!("set {WHAT}"));
            return Vec::new();
        };
        if required && items.is_empty() {
            self.fault(key, Some(&value), format!("set {WHAT}"));
        }
        items
            .iter()
            .filter_map(|item| self.parse_text(key, item, "an IP number and a port"))
            .collect()
    }
}
