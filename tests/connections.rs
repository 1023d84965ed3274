//! Kept connections that the other end has closed.

use {
    dogwoodreach::http::{Client, Failure, uri},
    http_body_util::Full,
    hyper::Request,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        sync::mpsc::channel,
        thread,
        time::Duration,
    },
    tokio::{runtime::Builder, task::yield_now},
};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

async fn send(client: &Client, addr: SocketAddr) -> Result<u16, Failure> {
    let request = Request::builder().method("POST").uri(uri(addr, "/quoting"));
    let request = request.body(Full::new("bind".into())).expect("a request");
    client.send(request, Duration::from_secs(10)).await.map(|(head, _)| head.status.as_u16())
}

// A member closes connections that were idle for some seconds; a process that had stood still takes
// such a connection for open. Its request was never written, but was reported as one that may have
// run, so nobody tried it again.
#[test]
fn a_request_on_a_closed_connection_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (close, closing) = channel::<()>();
    let (done, closed) = channel::<()>();
    let server = thread::spawn(move || {
        let mut bytes = [0; 1024];
        let (mut first, _) = listener.accept().expect("a connection");
        assert!(first.read(&mut bytes).expect("a request") > 0);
        first.write_all(ANSWER).expect("an answer");
        closing.recv().expect("the test goes on");
        drop(first);
        done.send(()).expect("the test waits");
        let (mut second, _) = listener.accept().expect("a connection");
        assert!(second.read(&mut bytes).expect("a request") > 0);
        second.write_all(ANSWER).expect("an answer");
    });
    // Between its calls the client's thread does nothing, like a process that stands still.
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let client = Client::new(4);
    assert_eq!(runtime.block_on(send(&client, addr)), Ok(200));
    close.send(()).expect("the server waits");
    closed.recv().expect("the connection is closed");
    let sent = runtime.block_on(async {
        // The runtime sees that the connection can be read, and this future goes first.
        yield_now().await;
        send(&client, addr).await
    });
    assert_eq!(sent, Err(Failure::Unsent));
    assert_eq!(runtime.block_on(send(&client, addr)), Ok(200));
    server.join().expect("the server ends");
}
