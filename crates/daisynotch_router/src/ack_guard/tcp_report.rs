//! Reads what the kernel reports of a connection (`TCP_INFO`).

use std::io;
use std::os::fd::AsFd;
use std::sync::OnceLock;
use std::time::Duration;

use daisynotch_core::direct::{TransmissionAges, TransmissionReport};
use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, libc, sockopt_impl};

/// Length of the part of the kernel's `struct tcp_info` that is read, in words of 32 bits. Linux 4.6
/// and later have it.
const WORDS: usize = 37;
/// Word whose fourth byte counts the probes of a closed window without an answer.
const PROBES_WORD: usize = 0;
const UNACKNOWLEDGED_WORD: usize = 6;
const LAST_DATA_SENT_MS_WORD: usize = 11;
const LAST_ACK_RECEIVED_MS_WORD: usize = 14;
const RETRANSMISSIONS_WORD: usize = 25;
/// First of the two words of a number of 64 bits.
const ACKNOWLEDGED_BYTES_WORD: usize = 30;
const UNSENT_BYTES_WORD: usize = 36;

sockopt_impl!(
    /// The first words of the kernel's `struct tcp_info`.
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    [u32; WORDS]
);

/// Returns whether the kernel reports what becomes of sent data.
pub(crate) fn is_reported(socket: &impl AsFd) -> bool {
    static IS_REPORTED: OnceLock<bool> = OnceLock::new();
    *IS_REPORTED.get_or_init(|| match read(socket) {
        Ok(_) => true,
        Err(error) => {
            log::warn!(
                "the kernel does not report acknowledgements, so that peers that read slowly are \
                 disconnected like those that are gone: {error}"
            );
            false
        }
    })
}

/// Reads the report about a connection.
pub(super) fn read(socket: &impl AsFd) -> io::Result<TransmissionReport> {
    let words = getsockopt(socket, TcpInfo)?;
    let [_, _, _, unanswered_probes] = words[PROBES_WORD].to_ne_bytes();
    let mut acknowledged_bytes = [0; 8];
    for (bytes, word) in acknowledged_bytes
        .chunks_exact_mut(4)
        .zip(&words[ACKNOWLEDGED_BYTES_WORD..])
    {
        bytes.copy_from_slice(&word.to_ne_bytes());
    }
    let ms = |word: usize| Duration::from_millis(u64::from(words[word]));
    let ages = TransmissionAges {
        last_sent: ms(LAST_DATA_SENT_MS_WORD),
        last_ack: ms(LAST_ACK_RECEIVED_MS_WORD),
    };
    // Both are zero where the network stack does not keep them.
    let has_ages = ages != TransmissionAges::default();
    Ok(TransmissionReport {
        has_unacknowledged: words[UNACKNOWLEDGED_WORD] > 0,
        has_unsent: words[UNSENT_BYTES_WORD] > 0,
        acknowledged_bytes: u64::from_ne_bytes(acknowledged_bytes),
        ages: has_ages.then_some(ages),
        retransmissions: words[RETRANSMISSIONS_WORD],
        unanswered_probes: u32::from(unanswered_probes),
    })
}
