//! Reading the host list, including malformed entries and outages.

use std::net::SocketAddr;
use std::time::Duration;

use daisynotch_core::ListedHost;
use daisynotch_platform::{HostListClient, HostListError};
use daisynotch_standins::{HostListStandin, StandinHost};

const TIMEOUT: Duration = Duration::from_secs(5);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn standin_host(router: &str, port: u16, leaving: bool) -> StandinHost {
    StandinHost {
        router: router.to_owned(),
        peer_address: address(port),
        zone: "sc-a".to_owned(),
        leaving,
    }
}

fn listed_host(router: &str, port: u16, leaving: bool) -> ListedHost {
    ListedHost {
        router: router.parse().expect("the name is valid"),
        peer_address: address(port),
        zone: "sc-a".parse().expect("the name is valid"),
        leaving,
    }
}

#[tokio::test]
async fn live_and_leaving_hosts_are_read_and_a_malformed_entry_is_skipped() {
    let list = HostListStandin::start().await.expect("the stand-in starts");
    list.set_hosts(vec![
        standin_host("router-1", 7001, false),
        standin_host("Not A Name", 7002, false),
        standin_host("router-3", 7003, true),
    ]);
    let hosts = HostListClient::new(list.address(), TIMEOUT).read().await;
    let expected = vec![
        listed_host("router-1", 7001, false),
        listed_host("router-3", 7003, true),
    ];
    assert_eq!(hosts.expect("the list is served"), expected);
}

#[tokio::test]
async fn unavailable_list_is_an_error_not_an_empty_list() {
    let list = HostListStandin::start().await.expect("the stand-in starts");
    list.set_down(true);
    let hosts = HostListClient::new(list.address(), TIMEOUT).read().await;
    assert!(matches!(hosts, Err(HostListError::NoAnswer { .. })));
    assert_eq!(list.calls(), 1);
}
