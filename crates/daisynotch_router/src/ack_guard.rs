//! A TCP stream that fails once its peer is gone.
//!
//! The kernel can end a connection on which sent data stays unacknowledged (`TCP_USER_TIMEOUT`), but
//! that also ends the connection of a peer that acknowledges everything and has closed its receive
//! window. This stream reads what the kernel reports instead, once a second and only while not
//! everything is acknowledged. See `docs/design/slow-readers.md`.

use std::future::Future;
use std::io::{self, IoSlice};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use daisynotch_core::Timestamp;
use daisynotch_core::direct::{PeerSilence, PeerState};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

mod tcp_report;

pub(crate) use tcp_report::is_reported;

/// Interval between keepalive probes on a connection on which nothing is unacknowledged: the
/// smallest value that the kernel accepts, since it counts whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Has the kernel find a peer that vanished while nothing was sent to it, within the whole seconds
/// that follow `silence_max`.
///
/// Accepted connections may inherit the options from the listening socket.
pub(crate) fn set_silence_options(socket: &impl AsFd, silence_max: Duration) -> io::Result<()> {
    let has_reports = is_reported(socket);
    let socket = SockRef::from(socket);
    let probes = silence_max.as_secs().max(1);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(u32::try_from(probes).unwrap_or(u32::MAX));
    socket.set_tcp_keepalive(&keepalive)?;
    let user_timeout = (!has_reports).then_some(silence_max);
    socket.set_tcp_user_timeout(user_timeout)
}

/// Returns whether a socket has the options of [`set_silence_options`].
pub(crate) fn has_silence_options(socket: &impl AsFd, silence_max: Duration) -> io::Result<bool> {
    let user_timeout = (!is_reported(socket)).then_some(silence_max);
    let socket = SockRef::from(socket);
    Ok(socket.keepalive()? && socket.tcp_user_timeout()? == user_timeout)
}

/// A stream that checks whether its peer acknowledges what it is sent.
#[derive(Debug)]
pub(crate) struct AckGuard {
    stream: TcpStream,
    /// Whether the kernel reports acknowledgements. It ends the connection itself otherwise.
    has_reports: bool,
    opened_at: Instant,
    silence: PeerSilence,
    /// Timer of the next check.
    check_timer: Option<Pin<Box<Sleep>>>,
    /// Whether a check is due when the timer ends, since something may be unacknowledged.
    is_check_due: bool,
    is_gone: bool,
}

impl AckGuard {
    /// Wraps a connection whose peer may acknowledge nothing for `silence_max`. Its socket has the
    /// options of [`set_silence_options`].
    pub(crate) fn new(stream: TcpStream, silence_max: Duration) -> Self {
        Self {
            has_reports: is_reported(&stream),
            stream,
            opened_at: Instant::now(),
            silence: PeerSilence::new(silence_max),
            check_timer: None,
            is_check_due: false,
            is_gone: false,
        }
    }

    /// Has the connection reset when it is dropped.
    pub(crate) fn set_zero_linger(&self) -> io::Result<()> {
        self.stream.set_zero_linger()
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.opened_at.elapsed()
    }

    fn on_written(&mut self, written: &Poll<io::Result<usize>>) {
        if !self.has_reports || !matches!(written, Poll::Ready(Ok(length)) if *length > 0) {
            return;
        }
        let now = self.now();
        if let Some(pause) = self.silence.on_sent(now) {
            self.check_after(pause);
        }
    }

    fn check_after(&mut self, pause: Duration) {
        self.is_check_due = true;
        let at = Instant::now() + pause;
        match &mut self.check_timer {
            Some(timer) => timer.as_mut().reset(at),
            None => self.check_timer = Some(Box::pin(tokio::time::sleep_until(at))),
        }
    }

    /// Reads the kernel's report if a check is due, and fails if the peer is gone.
    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while self.is_check_due
            && let Some(timer) = &mut self.check_timer
            && timer.as_mut().poll(context).is_ready()
        {
            self.is_check_due = false;
            let report = tcp_report::read(&self.stream)?;
            let now = self.now();
            match self.silence.on_report(&report, now) {
                PeerState::CaughtUp => {}
                PeerState::Undecided(pause) => self.check_after(pause),
                PeerState::Gone => {
                    self.is_gone = true;
                    let message = "the peer has acknowledged nothing for too long";
                    return Err(io::Error::new(io::ErrorKind::TimedOut, message));
                }
            }
        }
        Ok(())
    }
}

impl Drop for AckGuard {
    fn drop(&mut self) {
        // The kernel would go on sending to a peer that is gone for minutes.
        if self.is_gone
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::debug!("can't reset the connection to a peer that is gone: {error}");
        }
    }
}

impl AsyncRead for AckGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for AckGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.on_written(&written);
        self.check(context)?;
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.on_written(&written);
        self.check(context)?;
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
