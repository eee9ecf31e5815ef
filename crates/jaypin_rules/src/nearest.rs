//! The name that a mistyped one probably stands for.

/// Similarity, from 0 to 1, below which two names have nothing to do with each other.
const MIN_SIMILARITY: f64 = 0.7;

/// Gives the known name that is most like the one found.
pub fn nearest<'a>(found: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|name| (strsim::jaro_winkler(found, name), name))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_, name)| name)
}

/// Gives the end of a message: the nearest name, or nothing.
#[must_use]
pub fn name_hint<'a>(found: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    nearest(found, known).map_or_else(String::new, |name| format!("; did you mean `{name}`?"))
}
