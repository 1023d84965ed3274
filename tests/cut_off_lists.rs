//! Lists that arrive in pages or in parts: one that is cut off is neither whole nor missing.

#[path = "site/mod.rs"]
mod site;

use {
    dogwoodreach::{
        metrics::Metrics,
        ports::{Fault, WorkerCall, WorkerReply},
        service_clients::ServiceClients,
    },
    serde_json::json,
    site::forms::FORMS,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    tokio::{runtime::Builder, sync::watch},
};

/// Answers each request on the first connection with `respond`, which gets the connection and the
/// number of the request, until the client closes it.
fn serve(respond: impl Fn(&mut TcpStream, usize) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut link, _) = listener.accept().expect("a connection");
        let mut request = [0; 4_096];
        for number in 0.. {
            match link.read(&mut request) {
                Ok(1..) => respond(&mut link, number),
                _ => return,
            }
        }
    });
    addr
}

fn write_head(link: &mut TcpStream, length: usize) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    link.write_all(head.as_bytes()).expect("a head");
}

fn clients(store: SocketAddr) -> ServiceClients {
    let any = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = json!({
        "callers": any, "ready": any, "control": any, "metrics": any, "store": store,
    });
    let site = (FORMS.decode_settings)(&settings.to_string()).expect("settings");
    let (_, site) = watch::channel(Arc::new(site));
    ServiceClients::new(&FORMS, site, Arc::new(Metrics::new()), Arc::new(|| ()))
}

// Guards against a range that is taken for whole although the store says that more items follow: an
// owner would not know of jobs, or of ends that are stored.
#[test]
fn an_empty_page_before_the_last_one_is_no_end_of_the_range() {
    let store = serve(|link, _| {
        let page = json!({"items": [], "more": true, "rev": 7}).to_string();
        write_head(link, page.len());
        link.write_all(page.as_bytes()).expect("a page");
    });
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let read = runtime.block_on(clients(store).read_prefix("dwr/", false));
    assert!(matches!(read, Err(Fault::Bad(_))), "{read:?}");
}

// Guards against a worker that counts as silent because its list is long and the link is slow: its
// runs would be taken for lost, and a successor would never hear it.
#[test]
fn a_list_that_arrives_in_parts_is_an_answer() {
    let limit = Duration::from_millis(200);
    let worker = serve(move |link, _| {
        let (begin, mut left) = (Instant::now(), 1_000_000);
        write_head(link, left);
        // Parts keep coming until the time for the beginning of an answer is over.
        while begin.elapsed() < limit * 2 && left > 1 {
            link.write_all(b" ").expect("a part");
            left -= 1;
            thread::yield_now();
        }
        link.write_all(&vec![b' '; left]).expect("the rest");
    });
    let hold = WorkerCall::Hold { until: None, token: 1, seen: 0, wait: Duration::ZERO };
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let clients = clients(worker);
    let reply = runtime.block_on(clients.call_worker(worker, &"w1".into(), &hold, limit));
    assert!(matches!(reply, Ok(WorkerReply::Held(_))), "{reply:?}");
}
