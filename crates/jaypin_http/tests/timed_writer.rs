//! Requests that are written only within a time limit.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use jaypin_http::{TimedWriter, WriteLimit};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(100);
const BEFORE_LIMIT: Duration = Duration::from_secs(99);
const AFTER_LIMIT: Duration = Duration::from_secs(101);
/// Time in which a withheld request has failed; one that was written waits for its response.
const CALL_TIME: Duration = Duration::from_secs(5);
/// Size of the buffer between the two ends, which the body of a request exceeds.
const BUFFER_BYTES: usize = 1024;
const BODY: &[u8] = &[b'a'; 4 * BUFFER_BYTES];

thread_local! {
    static NOW: Cell<Duration> = const { Cell::new(BEFORE_LIMIT) };
}

/// Connects a client whose writes are limited to a stream that tests read.
async fn connect() -> (SendRequest<Full<Bytes>>, WriteLimit, DuplexStream) {
    let (near, far) = duplex(BUFFER_BYTES);
    let limit = WriteLimit::default();
    let stream = TimedWriter::new(near, limit.clone(), || NOW.get());
    let (sender, driver) = handshake(TokioIo::new(stream)).await.unwrap();
    spawn_local(driver);
    (sender, limit, far)
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/").body(Full::from(BODY)).unwrap()
}

/// Guards against a request that is written after the process was suspended between the decision to
/// send it and the write: the backend server may have left meanwhile.
#[tokio::test]
async fn a_request_that_is_late_at_its_write_is_withheld() {
    let test = async {
        let (mut sender, limit, mut far) = connect().await;
        limit.set(LIMIT);
        // The request is handed to the task of the connection, which has yet to run.
        let call = sender.try_send_request(request());
        NOW.set(AFTER_LIMIT);
        let ended = timeout(CALL_TIME, call).await;
        assert!(matches!(ended, Ok(Err(_))), "{ended:?}");
        assert!(limit.is_exceeded());
        drop(sender);
        let mut received = Vec::new();
        far.read_to_end(&mut received).await.unwrap();
        assert!(received.is_empty(), "{} bytes", received.len());
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a request that counts as withheld although its first bytes have arrived: it would
/// be sent again and run twice.
#[tokio::test]
async fn a_request_whose_first_bytes_were_written_in_time_is_completed() {
    let test = async {
        let (mut sender, limit, mut far) = connect().await;
        limit.set(LIMIT);
        let call = spawn_local(sender.send_request(request()));
        let first = far.read_u8().await.unwrap();
        assert_eq!(first, b'P');
        NOW.set(AFTER_LIMIT);
        let mut received = Vec::new();
        while !received.ends_with(BODY) {
            assert_ne!(far.read_buf(&mut received).await.unwrap(), 0);
        }
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        far.write_all(response).await.unwrap();
        assert!(call.await.unwrap().is_ok());
        assert!(!limit.is_exceeded());
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a limit of one request that holds for the next one on the connection.
#[tokio::test]
async fn a_limit_ends_with_the_write_of_its_request() {
    let test = async {
        let (mut sender, limit, mut far) = connect().await;
        limit.set(LIMIT);
        for now in [BEFORE_LIMIT, AFTER_LIMIT] {
            NOW.set(now);
            sender.ready().await.unwrap();
            let call = spawn_local(sender.send_request(request()));
            let mut received = Vec::new();
            while !received.ends_with(BODY) {
                assert_ne!(far.read_buf(&mut received).await.unwrap(), 0);
            }
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            far.write_all(response).await.unwrap();
            assert!(call.await.unwrap().is_ok());
        }
    };
    LocalSet::new().run_until(test).await;
}
