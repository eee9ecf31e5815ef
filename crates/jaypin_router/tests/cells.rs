//! Division of large fleets into cells.

use std::collections::BTreeMap;

use jaypin_router::{cell_count, cell_of};

macro_rules! cell_counts {
    ($($name:ident: $hosts:expr => $cells:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(cell_count($hosts), $cells);
            }
        )*
    };
}

cell_counts! {
    a_small_fleet_is_one_cell: 13 => 1;
    forty_hosts_are_one_cell: 40 => 1;
    forty_one_hosts_are_two_cells: 41 => 2;
    a_hundred_and_twenty_six_hosts_are_four_cells: 126 => 4;
    the_planned_size_has_sixteen_cells: 370 => 16;
}

#[test]
fn cells_have_a_few_dozen_hosts_each() {
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
