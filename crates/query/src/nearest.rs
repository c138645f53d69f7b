//! Suggests existing names for misspelled ones.

/// Maximum input length; longer texts are not misspelled names.
const MAXIMUM_INPUT_CHARACTERS: usize = 40;

/// Returns the candidate with the smallest edit distance, if it is similar enough to `input`.
pub(crate) fn nearest(
    input: &str,
    candidates: impl Iterator<Item = &'static str>,
) -> Option<&'static str> {
    let input: Vec<char> = input.to_lowercase().chars().collect();
    if input.len() > MAXIMUM_INPUT_CHARACTERS {
        return None;
    }
    let maximum_distance = (input.len() / 2).min(3);
    candidates
        .map(|candidate| (edit_distance(&input, candidate), candidate))
        .filter(|(distance, _)| *distance <= maximum_distance)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance.
fn edit_distance(left: &[char], right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut previous: Vec<usize> = (0..=right.len()).collect();
    for (row, left_character) in left.iter().enumerate() {
        let mut current = vec![row + 1];
        for (column, right_character) in right.iter().enumerate() {
            let substitution = previous[column] + usize::from(left_character != right_character);
            let deletion = previous[column + 1] + 1;
            let insertion = current[column] + 1;
            current.push(substitution.min(deletion).min(insertion));
        }
        previous = current;
    }
    previous[right.len()]
}
