//! Connections of callers, opened first and written to later.

use {
    super::{Args, Cell},
    std::{
        collections::BTreeMap,
        io::{Read, Write},
        net::TcpStream,
        time::Duration,
    },
};

/// How long a caller waits for its answer.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

impl Cell {
    /// Opens connections, sends one request on each, or counts those that are answered.
    pub(super) fn sockets(&mut self, args: &mut Args) -> String {
        match &*args.name() {
            "open" => {
                let (via, count) = (args.required("via"), args.required("count"));
                let addr = self.process(&via).value("callers").to_owned();
                let open = |_| TcpStream::connect(&addr).expect("a connection");
                self.sockets = (0..count.parse::<u64>().expect("a number")).map(open).collect();
                "".into()
            }
            "send" => {
                let line = format!("POST /{}/do HTTP/1.1", args.required("service"));
                let request = format!("{line}\r\nhost: member\r\ncontent-length: 0\r\n\r\n");
                for socket in &mut self.sockets {
                    socket.write_all(request.as_bytes()).expect("the request is sent");
                }
                "".into()
            }
            "read" => {
                let mut counts: BTreeMap<String, u64> = BTreeMap::new();
                for socket in std::mem::take(&mut self.sockets) {
                    *counts.entry(read_status(socket)).or_default() += 1;
                }
                let rows = counts.iter().map(|(status, count)| format!("{status}: {count}"));
                rows.collect::<Vec<_>>().join("\n")
            }
            other => panic!("sockets does not know {other}"),
        }
    }
}

/// Whether an answer, which may be a refusal, comes on a connection.
fn read_status(mut socket: TcpStream) -> String {
    socket.set_read_timeout(Some(READ_TIMEOUT)).expect("a time-out can be set");
    let mut head = [0; 12];
    match socket.read_exact(&mut head) {
        Ok(()) if head.starts_with(b"HTTP/1.1 ") => "answered or refused".into(),
        Ok(()) => "no HTTP".into(),
        Err(e) => format!("broken: {:?}", e.kind()),
    }
}
