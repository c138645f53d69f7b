//! Guards answer assembly: numbering, request id echoes, resumes and an explicit end of every
//! answer.

use std::time::Duration;

use bolero::check;
use ponddrift_core::answer::{
    AnswerAction, AnswerAssembler, AnswerEvent, AnswerFault, AnswerKind, AnswerSettings,
    BodyFraming, ConnectionNumber,
};
use ponddrift_core::{RequestId, Timestamp};

const START: Timestamp = Timestamp::from_millis(5);
const OWN: RequestId = RequestId(7);
const OTHER: RequestId = RequestId(8);
const FIRST: ConnectionNumber = ConnectionNumber(0);

type Event = AnswerEvent<u64>;
type Action = AnswerAction<u64>;

fn assembler(kind: AnswerKind) -> AnswerAssembler {
    let deadline = START + Duration::from_secs(60);
    AnswerAssembler::new(AnswerSettings::default(), START, OWN, kind, deadline)
}

fn head(echoed: RequestId, framing: BodyFraming) -> Event {
    AnswerEvent::Head {
        echoed: Some(echoed),
        framing,
    }
}

fn part(id: u64) -> Event {
    AnswerEvent::Part {
        id: Some(id),
        echoed: Some(OWN),
        payload: id,
    }
}

fn streaming() -> AnswerAssembler {
    let mut assembler = assembler(AnswerKind::Stream);
    let actions = assembler.handle(START, FIRST, head(OWN, BodyFraming::Delimited));
    assert!(actions.is_empty());
    assembler
}

fn fault(actions: &[Action]) -> Option<AnswerFault> {
    actions.iter().find_map(|action| match action {
        AnswerAction::Fail(error) => Some(error.fault),
        _ => None,
    })
}

fn resume(actions: &[Action]) -> Option<(ConnectionNumber, Option<u64>)> {
    actions.iter().find_map(|action| match action {
        AnswerAction::Resume {
            connection, after, ..
        } => Some((*connection, *after)),
        _ => None,
    })
}

#[test]
fn a_complete_stream_is_forwarded_once_and_completed() {
    let mut stream = streaming();
    assert_eq!(
        stream.handle(START, FIRST, part(1)),
        [AnswerAction::Forward(1)]
    );
    assert_eq!(stream.handle(START, FIRST, part(1)), []);
    assert_eq!(
        stream.handle(START, FIRST, part(2)),
        [AnswerAction::Forward(2)]
    );
    let end: Event = AnswerEvent::EndMark { id: Some(3) };
    assert_eq!(stream.handle(START, FIRST, end), [AnswerAction::Complete]);
    assert_eq!(stream.handle(START, FIRST, part(3)), []);
    assert_eq!(stream.handle(START, FIRST, Event::Closed), []);
    assert_eq!(stream.next_tick(), None);
}

#[test]
fn a_stream_without_end_mark_is_resumed_and_old_connections_are_ignored() {
    let mut stream = streaming();
    stream.handle(START, FIRST, part(1));
    let actions = stream.handle(START, FIRST, Event::Closed);
    let second = ConnectionNumber(1);
    assert_eq!(resume(&actions), Some((second, Some(1))));
    assert_eq!(stream.handle(START, FIRST, part(2)), []);
    assert_eq!(
        stream.handle(START, second, head(OWN, BodyFraming::Delimited)),
        []
    );
    assert_eq!(
        stream.handle(START, second, part(2)),
        [AnswerAction::Forward(2)]
    );
}

#[test]
fn a_gap_or_a_missing_id_resumes_after_the_last_part() {
    let mut stream = streaming();
    stream.handle(START, FIRST, part(1));
    let actions = stream.handle(START, FIRST, part(3));
    assert_eq!(resume(&actions), Some((ConnectionNumber(1), Some(1))));

    let mut stream = streaming();
    let unnumbered = AnswerEvent::Part {
        id: None,
        echoed: Some(OWN),
        payload: 1,
    };
    let actions = stream.handle(START, FIRST, unnumbered);
    assert_eq!(resume(&actions), Some((ConnectionNumber(1), None)));
    let early_end: Event = AnswerEvent::EndMark { id: Some(5) };
    let second = ConnectionNumber(1);
    stream.handle(START, second, head(OWN, BodyFraming::Delimited));
    let actions = stream.handle(START, second, early_end);
    assert!(resume(&actions).is_some());
}

#[test]
fn answers_to_other_requests_are_never_forwarded() {
    let mut stream = assembler(AnswerKind::Stream);
    let actions = stream.handle(START, FIRST, head(OTHER, BodyFraming::Delimited));
    assert_eq!(resume(&actions), Some((ConnectionNumber(1), None)));

    let mut stream = streaming();
    let crossed = AnswerEvent::Part {
        id: Some(1),
        echoed: Some(OTHER),
        payload: 99,
    };
    let actions = stream.handle(START, FIRST, crossed);
    assert!(!actions.contains(&AnswerAction::Forward(99)));
    assert!(resume(&actions).is_some());

    let mut body = assembler(AnswerKind::Whole);
    let actions = body.handle(START, FIRST, head(OTHER, BodyFraming::Length(3)));
    assert_eq!(fault(&actions), Some(AnswerFault::Crossed));

    let mut body = assembler(AnswerKind::Whole);
    let without_echo: Event = AnswerEvent::Head {
        echoed: None,
        framing: BodyFraming::Length(3),
    };
    let actions = body.handle(START, FIRST, without_echo);
    assert_eq!(fault(&actions), Some(AnswerFault::EchoMissing));
}

#[test]
fn bodies_are_checked_against_their_content_length() {
    let bytes = |length| -> Event { AnswerEvent::Bytes { length, payload: 0 } };
    let receiving_body = |framing| {
        let mut body = assembler(AnswerKind::Whole);
        assert!(body.handle(START, FIRST, head(OWN, framing)).is_empty());
        body
    };
    let mut body = receiving_body(BodyFraming::Length(10));
    body.handle(START, FIRST, bytes(4));
    let actions = body.handle(START, FIRST, Event::Closed);
    let short = AnswerFault::TooShort {
        announced: 10,
        received: 4,
    };
    assert_eq!(fault(&actions), Some(short));

    let mut body = receiving_body(BodyFraming::Length(10));
    let actions = body.handle(START, FIRST, bytes(11));
    assert_eq!(
        fault(&actions),
        Some(AnswerFault::TooLong { announced: 10 })
    );

    let mut body = receiving_body(BodyFraming::Length(10));
    body.handle(START, FIRST, bytes(10));
    assert_eq!(
        body.handle(START, FIRST, Event::Closed),
        [AnswerAction::Complete]
    );

    let mut body = receiving_body(BodyFraming::Delimited);
    body.handle(START, FIRST, bytes(4));
    let actions = body.handle(START, FIRST, Event::Broken);
    assert_eq!(fault(&actions), Some(AnswerFault::Cut));

    let mut body = assembler(AnswerKind::Whole);
    let actions = body.handle(START, FIRST, head(OWN, BodyFraming::UntilClose));
    assert_eq!(fault(&actions), Some(AnswerFault::Unframed));
}

#[test]
fn resumes_are_bounded_in_number_and_time() {
    let mut stream = streaming();
    let mut connection = FIRST;
    let mut resumes = 0;
    loop {
        let actions = stream.handle(START, connection, Event::Broken);
        let Some((next, _)) = resume(&actions) else {
            assert_eq!(fault(&actions), Some(AnswerFault::Cut));
            break;
        };
        connection = next;
        resumes += 1;
    }
    assert_eq!(
        resumes,
        AnswerSettings::default().max_resumes_without_progress
    );

    let mut stream = streaming();
    stream.handle(START, FIRST, part(1));
    let idle = stream.next_tick().unwrap();
    let actions = stream.handle(idle, FIRST, Event::Tick);
    assert!(resume(&actions).is_some());
    let idle = stream.next_tick().unwrap();
    let actions = stream.handle(idle, ConnectionNumber(1), Event::Tick);
    assert_eq!(fault(&actions), Some(AnswerFault::Idle));

    let mut stream = streaming();
    stream.handle(START, FIRST, part(1));
    let deadline = START + Duration::from_secs(60);
    let actions = stream.handle(deadline, FIRST, Event::Tick);
    assert_eq!(fault(&actions), Some(AnswerFault::DeadlinePassed));
}

#[test]
fn a_silent_back_end_is_tolerated_until_the_limit_for_the_first_part() {
    let deadline = START + Duration::from_secs(60);
    assert_eq!(assembler(AnswerKind::Whole).next_tick(), Some(deadline));
    let by = START + Duration::from_secs(3);
    let mut stream = assembler(AnswerKind::Stream).first_part_by(by);
    assert_eq!(stream.next_tick(), Some(by));
    let actions = stream.handle(by, FIRST, Event::Tick);
    assert_eq!(resume(&actions), Some((ConnectionNumber(1), None)));
    let mut body = assembler(AnswerKind::Whole).first_part_by(by);
    let actions = body.handle(by, FIRST, Event::Tick);
    assert_eq!(fault(&actions), Some(AnswerFault::Idle));
}

/// Next event from the network in the property test below.
fn next_event(choice: u8, sent: &mut u64, total: u64) -> Event {
    let fresh = *sent + 1;
    match choice % 16 {
        0 => Event::Broken,
        1 => Event::Closed,
        2 => part(*sent),
        3 => AnswerEvent::Part {
            id: Some(fresh),
            echoed: Some(OTHER),
            payload: 1_000,
        },
        4 => {
            *sent += 1;
            part(fresh + 1)
        }
        5 => head(OTHER, BodyFraming::Delimited),
        _ if fresh > total => AnswerEvent::EndMark {
            id: Some(total + 1),
        },
        _ => {
            *sent += 1;
            part(fresh)
        }
    }
}

#[test]
fn under_any_schedule_the_forwarded_parts_are_a_prefix_and_the_end_is_explicit() {
    const TOTAL: u64 = 6;
    check!().with_type::<Vec<u8>>().for_each(|schedule| {
        let mut stream = streaming();
        let mut connection = FIRST;
        let mut sent = 0;
        let mut actions = Vec::new();
        for &choice in schedule {
            let event = next_event(choice, &mut sent, TOTAL);
            let taken = stream.handle(START, connection, event);
            if let Some((next, after)) = resume(&taken) {
                connection = next;
                sent = after.unwrap_or(0);
                stream.handle(START, connection, head(OWN, BodyFraming::Delimited));
            }
            actions.extend(taken);
        }
        let last = START + Duration::from_secs(60);
        actions.extend(stream.handle(last, connection, Event::Tick));
        let forwarded: Vec<u64> = actions
            .iter()
            .filter_map(|action| match action {
                AnswerAction::Forward(id) => Some(*id),
                _ => None,
            })
            .collect();
        let expected: Vec<u64> = (1..=forwarded.len() as u64).collect();
        assert_eq!(forwarded, expected);
        let completed = actions.contains(&AnswerAction::Complete);
        assert_ne!(
            completed,
            fault(&actions).is_some(),
            "an answer either completes or fails"
        );
        assert!(!completed || forwarded.len() as u64 == TOTAL);
    });
}
