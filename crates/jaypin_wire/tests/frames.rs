//! Frames of peer links: decoding any bytes does not panic, and encoded messages are decoded
//! unchanged.

use std::time::Duration;

use jaypin_core::{Ask, GrantNumber, Message, Shard, SlotProgress};
use jaypin_wire::{Frame, decode, encode};
use proptest::prelude::*;

fn shards() -> impl Strategy<Value = Shard> {
    ("[a-z]{1,8}", any::<u16>()).prop_map(|(service, index)| Shard {
        service: service.into(),
        index,
    })
}

fn asks() -> impl Strategy<Value = Message> {
    (
        shards(),
        "[a-z0-9-]{1,40}",
        any::<(u32, u8, u32, u32, u32, u32)>(),
        any::<Vec<u64>>(),
    )
        .prop_map(
            |(shard, id, (attempt, tier, prompt_tokens, max_tokens, first, whole), prefixes)| {
                Message::Ask(Ask {
                    shard,
                    id: id.into(),
                    attempt,
                    tier,
                    account: "farm-yilan".into(),
                    prompt_tokens,
                    max_tokens,
                    first_token_due_in: Duration::from_millis(first.into()),
                    response_due_in: Duration::from_millis(whole.into()),
                    prefixes,
                })
            },
        )
}

fn progresses() -> impl Strategy<Value = Message> {
    (
        shards(),
        "[a-z0-9-]{1,40}",
        any::<(u64, u64, u32, u32, bool)>(),
    )
        .prop_map(
            |(shard, id, (incarnation, sequence, tokens, after, lost))| Message::Progress {
                shard,
                id: id.into(),
                number: GrantNumber {
                    incarnation,
                    sequence,
                },
                progress: SlotProgress::Finished {
                    tokens,
                    after: Duration::from_millis(after.into()),
                    lost,
                },
            },
        )
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decoding_any_bytes_does_not_panic(bytes in any::<Vec<u8>>()) {
        let _ = decode::<Frame>(&bytes);
    }

    /// A link delivers a frame with one byte changed, or a truncated frame. Decoding it gives
    /// either an error or another message, and never a panic, which would stop the host.
    #[test]
    fn decoding_damaged_frames_does_not_panic(
        message in asks(), place in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<bool>(),
    ) {
        let mut bytes = encode(&Frame::Message(message.into())).expect("encoded");
        let place = place.index(bytes.len());
        bytes[place] = byte;
        if cut {
            bytes.truncate(place);
        }
        let _ = decode::<Frame>(&bytes);
    }

    #[test]
    fn messages_are_decoded_unchanged(message in prop_oneof![asks(), progresses()]) {
        let bytes = encode(&Frame::Message(message.clone().into())).expect("encoded");
        let Ok(Frame::Message(wire)) = decode(&bytes) else {
            return Err(TestCaseError::fail("the frame was not decoded as a message"));
        };
        prop_assert_eq!(Message::from(wire), message);
    }
}
