//! Tests that messages survive encoding and decoding, and that malformed input is rejected without
//! a panic.

use ponddrift_core::configuration::PullAnswer;
use ponddrift_core::membership::MembershipMessage;
use ponddrift_core::{Incarnation, MachineId, Revision};
use ponddrift_protocol::{
    Datagram, DecodeError, EncodeError, FRAME_HEADER_BYTES, Hello, MAXIMUM_DATAGRAM_BYTES,
    MAXIMUM_FRAME_BYTES, Part, Request, RequestFrame, Response, ResponseFrame, cluster_hash,
    decode_datagram, decode_frame_header, decode_request, decode_response, encode_datagram,
    encode_request, encode_response,
};

fn datagram(body: Vec<Part>) -> Datagram {
    Datagram {
        cluster: cluster_hash("test"),
        sender: MachineId(1),
        incarnation: Incarnation(2),
        body,
    }
}

fn ping() -> Part {
    Part::Membership(MembershipMessage::Ping {
        sequence: 3,
        updates: vec![],
    })
}

fn view(cell: &str) -> Part {
    Part::ViewRequest {
        cell: cell.parse().unwrap(),
        number: 4,
    }
}

#[test]
fn a_datagram_round_trips() {
    let sent = datagram(vec![
        ping(),
        view("cell-1"),
        Part::ConfigurationInForce(Revision(9)),
    ]);
    let bytes = encode_datagram(&sent).unwrap();
    assert_eq!(decode_datagram(&bytes), Ok(sent));
}

#[test]
fn stream_messages_round_trip_with_a_length_prefix() {
    let hello = Hello {
        cluster: cluster_hash("test"),
        sender: MachineId(1),
        incarnation: Incarnation(2),
    };
    let request = RequestFrame {
        hello,
        number: 7,
        request: Request::PullConfiguration { since: Revision(3) },
    };
    let bytes = encode_request(&request).unwrap();
    let (header, frame) = bytes.split_at(FRAME_HEADER_BYTES);
    assert_eq!(
        decode_frame_header(header.try_into().unwrap()),
        Ok(frame.len())
    );
    assert_eq!(decode_request(frame), Ok(request));
    let snapshot = PullAnswer::Snapshot(Box::default());
    let response = ResponseFrame {
        number: 7,
        response: Response::Configuration(snapshot),
    };
    let bytes = encode_response(&response).unwrap();
    assert_eq!(decode_response(&bytes[FRAME_HEADER_BYTES..]), Ok(response));
}

#[test]
fn sizes_versions_and_part_counts_are_checked() {
    let limit = MAXIMUM_DATAGRAM_BYTES;
    let bytes = limit + 1;
    assert_eq!(
        decode_datagram(&vec![1; bytes]),
        Err(DecodeError::TooLarge { bytes, limit })
    );
    assert_eq!(decode_datagram(&[]), Err(DecodeError::Empty));
    assert_eq!(
        decode_datagram(&[9, 0]),
        Err(DecodeError::Version { theirs: 9, ours: 1 })
    );
    let many = datagram(vec![Part::ConfigurationQuery; 33]);
    let many = encode_datagram(&many).unwrap();
    assert_eq!(
        decode_datagram(&many),
        Err(DecodeError::TooManyParts { limit: 32 })
    );
    let large = datagram(vec![ping(); 300]);
    assert!(matches!(
        encode_datagram(&large),
        Err(EncodeError::TooLarge { .. })
    ));
    let excessive = (MAXIMUM_FRAME_BYTES as u32 + 1).to_le_bytes();
    assert!(decode_frame_header(excessive).is_err());
    assert_eq!(decode_frame_header([0; 4]), Err(DecodeError::Empty));
}

#[test]
fn an_invalid_name_is_rejected() {
    let mut bytes = encode_datagram(&datagram(vec![view("cell-1")])).unwrap();
    let position = bytes.windows(6).position(|text| text == b"cell-1").unwrap();
    bytes[position] = b'/';
    assert!(matches!(
        decode_datagram(&bytes),
        Err(DecodeError::Malformed { .. })
    ));
}

#[test]
fn a_length_beyond_the_available_bytes_is_rejected() {
    let mut bytes = encode_datagram(&datagram(vec![])).unwrap();
    let length = bytes.len();
    bytes[length - 4..].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(decode_datagram(&bytes).is_err());
}

#[test]
fn arbitrary_bytes_never_panic_and_decoded_datagrams_encode_to_the_same_bytes() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let mut bytes = bytes.clone();
        if let Some(version) = bytes.first_mut() {
            *version = 1;
        }
        if let Ok(datagram) = decode_datagram(&bytes) {
            assert_eq!(encode_datagram(&datagram).unwrap(), bytes);
        }
        let _ = decode_request(&bytes);
        let _ = decode_response(&bytes);
    });
}

#[test]
fn a_flipped_byte_never_panics() {
    let sent = datagram(vec![
        ping(),
        view("cell-1"),
        Part::DrainDigest(8),
        Part::Load(vec![]),
    ]);
    let good = encode_datagram(&sent).unwrap();
    bolero::check!()
        .with_type::<Vec<(u16, u8)>>()
        .for_each(|flips| {
            let mut bytes = good.clone();
            for (position, value) in flips {
                let position = usize::from(*position) % bytes.len();
                bytes[position] ^= value;
            }
            let _ = decode_datagram(&bytes);
        });
}
