//! `LIKE` patterns: `%` matches any text, `_` one character.

/// Whether `text` matches `pattern`, in O(`text.len()` × `pattern.len()`) time.
pub(crate) fn matches(pattern: &str, text: &str) -> bool {
    let pattern: Vec<char> = pattern.chars().collect();
    let text: Vec<char> = text.chars().collect();
    let (mut pattern_index, mut text_index) = (0, 0);
    // Position of the last '%' and the text position at which its match currently ends.
    let mut backtrack: Option<(usize, usize)> = None;
    while text_index < text.len() {
        match pattern.get(pattern_index) {
            Some('%') => {
                backtrack = Some((pattern_index, text_index));
                pattern_index += 1;
            }
            Some(&expected) if expected == '_' || expected == text[text_index] => {
                pattern_index += 1;
                text_index += 1;
            }
            _ => {
                let Some((wildcard_index, text_start)) = backtrack else {
                    return false;
                };
                backtrack = Some((wildcard_index, text_start + 1));
                pattern_index = wildcard_index + 1;
                text_index = text_start + 1;
            }
        }
    }
    pattern[pattern_index..].iter().all(|&rest| rest == '%')
}
