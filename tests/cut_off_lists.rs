//! Lists that arrive in pages or in parts: one that is cut off is neither whole nor missing.

#[path = "site/mod.rs"]
mod site;

use {
    dogwoodreach::{metrics::Metrics, ports::Fault, service_clients::ServiceClients},
    serde_json::json,
    site::forms::FORMS,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
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
