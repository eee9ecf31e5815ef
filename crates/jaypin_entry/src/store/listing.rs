//! Progress of a listing, which the store returns in pages.

use std::borrow::Cow;
use std::collections::HashSet;

use jaypin_router::StorePoint;

use crate::ports::ObjectPage;

/// Greatest number of pages of a listing. A page has some hundred objects, or a megabyte.
const MAX_PAGES: usize = 100;
/// Number of times that a listing starts again because the store's history was replaced meanwhile.
const MAX_RESTARTS: usize = 3;
/// Longest part of a name from which a listing continues, in bytes. A request for the rest of a listing
/// contains it, escaped, and servers limit the length of requests.
const MAX_CURSOR_BYTES: usize = 256;

/// What was read of a collection.
#[derive(Debug)]
pub struct Listing<T> {
    /// What was kept of the objects that were read.
    pub items: Vec<T>,
    /// Point in the store's history at which the oldest page was read, from which to watch the collection.
    pub point: StorePoint,
    /// Whether the store returned the last page. If not, further objects may exist.
    pub is_complete: bool,
}

/// Where a listing continues.
///
/// Guards against a store that returns the same page again, an empty one, or pages without end: each
/// would be requested at once, for ever, and no entry would be used meanwhile.
#[derive(Debug, Default)]
pub struct Cursor {
    name: Option<String>,
    former: HashSet<String>,
    pages: usize,
    restarts: usize,
}

impl Cursor {
    /// Returns the name after which the next page begins; `None` for the first page.
    pub fn name(&self) -> Option<&str> {
        self.name.as_deref()
    }

    /// Moves behind a page. Returns `false` if the next page can't be requested, or was requested before.
    ///
    /// A page that ends with objects without a readable name is continued after the last one that has a
    /// name, so that its end is read twice instead of never.
    pub fn advance(&mut self, page: &ObjectPage) -> bool {
        self.pages += 1;
        let Some(last) = page.objects.last() else {
            return false;
        };
        let name = cursor_after(&last.name).into_owned();
        let is_new = self.former.insert(name.clone());
        self.name = Some(name);
        is_new && self.pages < MAX_PAGES
    }

    /// Returns to the first page. Returns `false` after too many of such returns.
    pub fn restart(&mut self) -> bool {
        self.restarts += 1;
        self.name = None;
        self.former.clear();
        self.restarts <= MAX_RESTARTS
    }
}

/// Returns a text that follows a name, and precedes all following names that are not as long.
fn cursor_after(name: &str) -> Cow<'_, str> {
    if name.len() <= MAX_CURSOR_BYTES {
        return Cow::Borrowed(name);
    }
    let start = &name[..name.floor_char_boundary(MAX_CURSOR_BYTES)];
    Cow::Owned(format!("{start}{}", char::MAX))
}
