//! Large fleets in cells.

use std::collections::BTreeMap;

use jaypin_router::{cell_count, cell_of};

macro_rules! counts {
    ($($name:ident: $hosts:expr => $cells:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(cell_count($hosts), $cells);
            }
        )*
    };
}

counts! {
    a_small_fleet_is_one_cell: 13 => 1;
    forty_hosts_are_one_cell: 40 => 1;
    a_few_more_are_two: 41 => 2;
    today_s_largest_has_four: 126 => 4;
    the_planned_size_has_sixteen: 370 => 16;
}

#[test]
fn cells_have_few_dozen_hosts_each() {
    let cells = cell_count(370);
    let mut sizes = BTreeMap::new();
    for n in 0..370 {
        *sizes
            .entry(cell_of(&format!("entry-{n}"), cells))
            .or_insert(0) += 1;
    }
    assert_eq!(sizes.len(), 16);
    assert!(
        sizes.values().all(|size| (8..=40).contains(size)),
        "{sizes:?}"
    );
}
