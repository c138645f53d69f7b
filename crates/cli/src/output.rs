//! Formats results and writes them to standard output.

use std::io::{self, Write};

use comfy_table::{ContentArrangement, Table};
use ponddrift_daemon::operator::wire::{ApplyAnswer, QueryAnswer};
use ponddrift_query::Value;
use serde::Serialize;

use crate::arguments::OutputFormat;
use crate::error::CliError;

/// Writes the result of a query; warns on standard error about daemons whose rows are missing.
pub(crate) fn print_rows(answer: &QueryAnswer, format: OutputFormat) -> Result<(), CliError> {
    match format {
        OutputFormat::Json => print_json(answer)?,
        OutputFormat::Csv => print_csv(answer)?,
        OutputFormat::Table => {
            let count = answer.result.rows.len();
            let rows = if count == 1 { "row" } else { "rows" };
            print_line(&format!("{}\n{count} {rows}", render_table(answer)))?;
        }
    }
    for missing_daemon in &answer.missing {
        eprintln!(
            "ponddrift: the result is incomplete: daemon {}: {}",
            missing_daemon.daemon, missing_daemon.reason
        );
    }
    Ok(())
}

fn render_table(answer: &QueryAnswer) -> Table {
    let mut table = Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(&answer.result.columns);
    for row in &answer.result.rows {
        table.add_row(row.iter().map(Value::to_string));
    }
    table
}

fn print_csv(answer: &QueryAnswer) -> Result<(), CliError> {
    let mut writer = csv::Writer::from_writer(io::stdout().lock());
    writer
        .write_record(&answer.result.columns)
        .map_err(io::Error::from)?;
    for row in &answer.result.rows {
        let fields = row.iter().map(|value| match value {
            Value::Null => String::new(),
            other => other.to_string(),
        });
        writer.write_record(fields).map_err(io::Error::from)?;
    }
    writer.flush()?;
    Ok(())
}

/// Writes the result of a change.
pub(crate) fn print_apply_result(
    answer: &ApplyAnswer,
    format: OutputFormat,
) -> Result<(), CliError> {
    if format == OutputFormat::Json {
        return print_json(answer);
    }
    let ApplyAnswer {
        change,
        revision,
        in_force,
        live,
        not_yet_in_force,
        waited_ms,
        ..
    } = answer;
    print_line(&format!(
        "accepted at revision {revision} (change {change}); in force on {in_force} of {live} daemons after {waited_ms} ms"
    ))?;
    if !not_yet_in_force.is_empty() {
        let names: Vec<String> = not_yet_in_force.iter().map(ToString::to_string).collect();
        print_line(&format!(
            "not yet in force on daemon {}: the change is applied once the daemon can be reached; check with \
             \"SELECT * FROM configuration WHERE current = false\"",
            names.join(", ")
        ))?;
    }
    Ok(())
}

/// Writes the fields of a value, one per line, or the value as JSON.
pub(crate) fn print_fields<T: Serialize>(value: &T, format: OutputFormat) -> Result<(), CliError> {
    if format == OutputFormat::Json {
        return print_json(value);
    }
    let value = serde_json::to_value(value).map_err(io::Error::from)?;
    let mut entries = Vec::new();
    flatten("", &value, &mut entries);
    if format == OutputFormat::Csv {
        let mut writer = csv::Writer::from_writer(io::stdout().lock());
        writer
            .write_record(["field", "value"])
            .map_err(io::Error::from)?;
        for field in entries {
            writer
                .write_record([field.name, field.text])
                .map_err(io::Error::from)?;
        }
        writer.flush()?;
        return Ok(());
    }
    let mut table = Table::new();
    table.load_style(comfy_table::presets::NOTHING);
    for field in entries {
        table.add_row([field.name, field.text]);
    }
    print_line(&table.to_string())
}

/// Leaf of a JSON object.
struct Field {
    /// Path of the field, separated by dots.
    name: String,
    text: String,
}

/// Appends the leaves of nested objects to `fields`, with dotted names.
fn flatten(name: &str, value: &serde_json::Value, fields: &mut Vec<Field>) {
    match value {
        serde_json::Value::Object(object) => {
            for (key, inner) in object {
                let name = if name.is_empty() {
                    key.clone()
                } else {
                    format!("{name}.{key}")
                };
                flatten(&name, inner, fields);
            }
        }
        serde_json::Value::String(text) => fields.push(Field {
            name: name.to_owned(),
            text: text.clone(),
        }),
        other => fields.push(Field {
            name: name.to_owned(),
            text: other.to_string(),
        }),
    }
}

fn print_json<T: Serialize>(value: &T) -> Result<(), CliError> {
    let text = serde_json::to_string_pretty(value).map_err(io::Error::from)?;
    print_line(&text)
}

fn print_line(text: &str) -> Result<(), CliError> {
    writeln!(io::stdout().lock(), "{text}")?;
    Ok(())
}
