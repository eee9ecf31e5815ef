//! Events arrive in pieces of any size, with LF or CRLF line ends.

use jaypin_http::EventReader;

fn events_of(pieces: &[&str]) -> (Vec<String>, bool) {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    for piece in pieces {
        assert!(reader.push(piece.as_bytes()));
        while let Some(event) = reader.next_event() {
            events.push(String::from_utf8_lossy(&event).into_owned());
        }
    }
    (events, reader.has_partial_event())
}

macro_rules! cases {
    ($($name:ident: $pieces:expr => $events:expr, $has_partial_event:expr;)*) => {$(
        #[test]
        fn $name() {
            let events: &[&str] = &$events;
            let (read, has_partial_event) = events_of(&$pieces);
            assert_eq!(read, events);
            assert_eq!(has_partial_event, $has_partial_event);
        }
    )*};
}

cases! {
    two_in_one_piece: ["id: 1\n\nid: 2\n\n"] => ["id: 1\n\n", "id: 2\n\n"], false;
    one_in_many_pieces: ["i", "d: ", "1\n", "\n"] => ["id: 1\n\n"], false;
    with_carriage_returns: ["id: 1\r\n\r\nid: 2\r\n\r", "\n"] => ["id: 1\r\n\r\n", "id: 2\r\n\r\n"], false;
    truncated_within_an_event: ["id: 1\n\nid: 2\nda"] => ["id: 1\n\n"], true;
    truncated_between_the_line_ends: ["id: 1\n"] => [], true;
    nothing: [] => [], false;
}

/// Guards against a backend server that sends bytes without ever ending an event: a host that
/// buffered all of them would run out of memory.
#[test]
fn event_without_an_end_is_rejected() {
    let mut reader = EventReader::default();
    let piece = vec![b'x'; 64 * 1024];
    let pushed = (0..17).take_while(|_| reader.push(&piece)).count();
    assert_eq!(pushed, 16);
    assert_eq!(reader.next_event(), None);
}
