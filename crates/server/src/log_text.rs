//! Text of other origin in log lines.

/// Maximum length of such text.
const MAX_CHARS: usize = 120;

/// Returns the start of `text`.
pub(crate) fn shortened(text: &str) -> String {
    text.chars().take(MAX_CHARS).collect()
}
