//! The HTTP server and client, over a loopback connection.

use lichenfield_runtime::http::{self, BODY_MAX, HttpClientError, HttpRequest, HttpResponse, OutboundRequest};
use lichenfield_runtime::{Executor, run};
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// An address that nothing listens on.
fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let SocketAddr::V4(address) = listener.local_addr().expect("a bound listener") else { unreachable!() };
    address
}

fn request(address: SocketAddrV4, body: Vec<u8>) -> OutboundRequest<'static> {
    OutboundRequest { address, method: "PUT", path: "/api/x?y=1", headers: &[], body, timeout: Duration::from_secs(10) }
}

fn start_server(executor: Executor, handler: impl Fn(HttpRequest) -> HttpResponse + 'static) -> SocketAddrV4 {
    let address = free_address();
    http::serve(executor, address, move |request| std::future::ready(handler(request))).expect("listening");
    address
}

#[test]
fn a_request_and_its_response_arrive_whole() {
    run(|executor| async move {
        let address = start_server(executor, |request| {
            let body = format!("{} {} {:?} {}", request.method, request.path, request.if_match, request.body.len());
            HttpResponse { status: 307, location: Some("http://elsewhere/".to_owned()), body: body.into_bytes() }
        });
        let headers = [("if-match", "7".to_owned())];
        let request = OutboundRequest { headers: &headers, ..request(address, vec![b' '; 5]) };
        let response = http::send(executor, request, || true).await.unwrap();
        assert_eq!((response.status, response.location.as_deref()), (307, Some("http://elsewhere/")));
        assert_eq!(response.body, b"PUT /api/x?y=1 Some(\"7\") 5");
    });
}

#[test]
fn a_body_over_the_limit_is_refused_with_413() {
    run(|executor| async move {
        let address = start_server(executor, |_| HttpResponse::status(200));
        let at_limit = http::send(executor, request(address, vec![b' '; BODY_MAX]), || true).await.unwrap();
        assert_eq!(at_limit.status, 200);
        let over_limit = http::send(executor, request(address, vec![b' '; BODY_MAX + 1]), || true).await.unwrap();
        assert_eq!(over_limit.status, 413);
    });
}

#[test]
fn nothing_is_sent_once_the_permission_has_ended() {
    run(|executor| async move {
        let received = Rc::new(Cell::new(false));
        let server_received = Rc::clone(&received);
        let address = start_server(executor, move |_| {
            server_received.set(true);
            HttpResponse::status(200)
        });
        let result = http::send(executor, request(address, Vec::new()), || false).await;
        assert!(matches!(result, Err(HttpClientError::NotPermitted)));
        assert!(!received.get());
    });
}

#[test]
fn connect_failure_and_time_out_are_told_apart() {
    run(|executor| async move {
        let refused = http::send(executor, request(free_address(), Vec::new()), || true).await;
        assert!(matches!(refused, Err(HttpClientError::Connect(_))));
        let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let SocketAddr::V4(address) = silent.local_addr().unwrap() else { unreachable!() };
        let request = OutboundRequest { timeout: Duration::from_millis(100), ..request(address, Vec::new()) };
        let result = http::send(executor, request, || true).await;
        assert!(matches!(result, Err(HttpClientError::Timeout(timeout)) if timeout.as_millis() == 100));
    });
}
