//! Line-by-line input of statements at a terminal.

use std::io;

use rustyline::DefaultEditor;
use rustyline::error::ReadlineError;

use crate::error::CliError;

const PROMPT: &str = "ponddrift> ";

/// Line editor with an in-memory history.
pub(crate) struct Terminal {
    editor: DefaultEditor,
}

impl Terminal {
    pub(crate) fn open() -> Result<Self, CliError> {
        let editor = DefaultEditor::new().map_err(terminal_error)?;
        Ok(Self { editor })
    }

    /// Reads the next non-blank line; `None` at the end of input or on Ctrl-C.
    pub(crate) fn next(&mut self) -> Result<Option<String>, CliError> {
        loop {
            match self.editor.readline(PROMPT) {
                Ok(line) if line.trim().is_empty() => {}
                Ok(line) => {
                    // Failing to record history must not prevent the statement from running.
                    let _added = self.editor.add_history_entry(line.as_str());
                    return Ok(Some(line));
                }
                Err(ReadlineError::Eof | ReadlineError::Interrupted) => return Ok(None),
                Err(error) => return Err(terminal_error(error)),
            }
        }
    }
}

fn terminal_error(error: ReadlineError) -> CliError {
    CliError::Terminal(io::Error::other(error))
}
