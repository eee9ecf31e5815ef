//! Large fleets in cells.

use std::collections::BTreeMap;

use jaypin_core::BackendId;
use jaypin_router::{cell_count, cell_of, share_out};

fn ids(count: usize) -> Vec<BackendId> {
    (0..count)
        .map(|n| BackendId::from(format!("engine-{n}")))
        .collect()
}

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

#[test]
fn each_cell_gets_its_part_of_the_backend_servers() {
    let hosts = BTreeMap::from([(0, 30), (1, 30), (2, 40), (3, 20)]);
    let ids = ids(60);
    let shared = share_out(ids.iter(), &hosts).expect("they are shared out");
    let mut sizes = BTreeMap::new();
    for cell in shared.values() {
        *sizes.entry(*cell).or_insert(0) += 1;
    }
    assert_eq!(shared.len(), 60);
    for (cell, hosts) in hosts {
        let part = 60 * hosts / 120;
        assert!(sizes[&cell] <= part + 1, "{sizes:?}");
    }
}

/// An engine is replaced. If all others changed their cell, every cell would begin anew
/// without knowing what runs on them.
#[test]
fn few_backend_servers_move_when_one_leaves() {
    let hosts = BTreeMap::from([(0, 30), (1, 30), (2, 30), (3, 30)]);
    let ids = ids(60);
    let before = share_out(ids.iter(), &hosts).expect("they are shared out");
    let after = share_out(ids[1..].iter(), &hosts).expect("they are shared out");
    let moved = ids[1..].iter().filter(|id| before[*id] != after[*id]);
    assert!(moved.count() <= 8);
}

#[test]
fn few_backend_servers_are_used_by_all_cells() {
    let hosts = BTreeMap::from([(0, 30), (1, 30)]);
    assert_eq!(share_out(ids(3).iter(), &hosts), None);
    assert_eq!(share_out(ids(60).iter(), &BTreeMap::from([(0, 13)])), None);
}
