//! Established connections that stop carrying bytes while new connections work.

mod support;

use std::time::Duration;

use daisynotch_router::{Daemon, HttpLimits, LogFormat, PeerSettings, Settings};
use daisynotch_standins::{Engine, EngineSettings, KeyValueStandin, PlainService, SilencingProxy};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use support::{TOKEN, ZONES, objects, publish, text_of, wait_for};
use tokio::net::TcpListener;

async fn listen() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    listener.expect("a port is free")
}

/// Starts one router of the fleet, with the given seed routers.
async fn start_router(
    index: usize,
    peer_listener: TcpListener,
    peers: Vec<PeerSettings>,
    key_value: &KeyValueStandin,
) -> Daemon {
    let callers = listen().await;
    let settings = Settings {
        router: format!("router-{index}")
            .parse()
            .expect("the name is valid"),
        zone: ZONES[index].parse().expect("the name is valid"),
        caller_address: callers.local_addr().expect("the socket is bound"),
        peer_address: peer_listener.local_addr().expect("the socket is bound"),
        operator_address: "127.0.0.1:0".parse().expect("the address is valid"),
        key_value_address: key_value.address(),
        host_list_address: None,
        peers,
        entry_keep_ms: 200,
        key_value_timeout_ms: 1_000,
        http: HttpLimits::default(),
        log_format: LogFormat::Text,
    };
    Daemon::start_on(settings, callers, peer_listener).expect("the router starts")
}

/// The connection from the entry router to the router that schedules the bookings goes silent.
#[tokio::test]
async fn a_silent_connection_between_routers_loses_no_request_and_runs_none_twice() {
    let key_value = KeyValueStandin::start().await.expect("the stand-in starts");
    let bookings = PlainService::start("/bookings", Duration::ZERO).await;
    let bookings = bookings.expect("the stand-in starts");
    let engine = Engine::start(EngineSettings::default()).await;
    let engines = [engine.expect("the stand-in starts")];
    publish(key_value.address(), &objects(&engines, bookings.address())).await;

    let scheduler_listener = listen().await;
    let address = scheduler_listener
        .local_addr()
        .expect("the socket is bound");
    let proxy = SilencingProxy::start(address)
        .await
        .expect("the stand-in starts");
    let scheduler = start_router(1, scheduler_listener, Vec::new(), &key_value).await;
    let seed = PeerSettings {
        router: "router-1".parse().expect("the name is valid"),
        address: proxy.address(),
    };
    let entry = start_router(0, listen().await, vec![seed], &key_value).await;
    wait_for(|| entry.is_ready(2)).await;
    wait_for(|| scheduler.is_ready(2)).await;

    let client: Client<_, Full<bytes::Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}/bookings/new", entry.caller_address());
    let book = |booking: String| {
        let request = hyper::Request::post(&uri)
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::from(booking))
            .expect("the request is valid");
        client.request(request)
    };
    let response = book("before".to_owned())
        .await
        .expect("the router responds");
    assert_eq!(response.status(), 201);
    proxy.silence_open_connections();
    let calls = (0..20).map(|call| book(format!("farm-{call}")));
    for (call, response) in futures::future::join_all(calls)
        .await
        .into_iter()
        .enumerate()
    {
        let response = response.expect("the router responds");
        assert_eq!(response.status(), 201, "call {call}");
        let text = text_of(response)
            .await
            .expect("the response body is complete");
        assert_eq!(text, format!("booked farm-{call}"));
        assert_eq!(bookings.runs_of(&format!("farm-{call}")), 1);
    }
    wait_for(|| entry.is_ready(2)).await;
}

/// A connection to the key-value service goes silent: the call on it times out, and the next
/// call uses a new connection.
#[tokio::test]
async fn a_silent_connection_to_the_key_value_service_is_replaced() {
    use daisynotch_platform::{KeyValueClient, ModRevision};

    let key_value = KeyValueStandin::start().await.expect("the stand-in starts");
    let proxy = SilencingProxy::start(key_value.address()).await;
    let proxy = proxy.expect("the stand-in starts");
    let client = KeyValueClient::new(proxy.address(), Duration::from_millis(300));
    let put = client.put_if("key", ModRevision(0), b"value").await;
    assert!(matches!(put, Ok(true)), "{put:?}");
    proxy.silence_open_connections();
    let silent = client.get("key").await;
    assert!(
        silent.is_err(),
        "a call on a silent connection must time out"
    );
    let fresh = client.get("key").await.expect("the service responds");
    assert_eq!(fresh.expect("the key exists").value.as_ref(), b"value");
}
