//! Suggestions for mistyped names.

/// Jaro-Winkler similarity, from 0 to 1, below which a name is not suggested.
const MIN_SIMILARITY: f64 = 0.7;

/// Returns the known name that is most similar to the one found, when it is similar enough.
pub fn nearest<'a>(found: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|name| (strsim::jaro_winkler(found, name), name))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, name)| name)
}

/// Returns the end of an error message that suggests the nearest name, or an empty text when
/// no name is similar enough.
#[must_use]
pub fn name_hint<'a>(found: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    nearest(found, known).map_or_else(String::new, |name| format!("; did you mean `{name}`?"))
}
