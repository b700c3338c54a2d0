//! Checks all judgements on how an exchange with an upstream ended.

use cowslip_fleet::{
    Failure, Framing, Interruption, Progress, ResponseKind, SendOutcome, check_end,
};

use Framing::{Chunked, ConnectionEnd, Length};
use Progress::{BetweenEvents, Empty, Inside};
use ResponseKind::{Buffered, Stream};

#[test]
fn response_is_whole_only_if_its_end_cannot_be_that_of_a_crash() {
    struct Case {
        progress: Progress,
        kind: ResponseKind,
        framing: Framing,
        expected: Result<(), Failure>,
    }
    let row = |progress, kind, framing, expected| Case { progress, kind, framing, expected };
    let cases = [
        row(Empty, Buffered, Length, Ok(())),
        row(Empty, Buffered, Chunked, Ok(())),
        row(Empty, Buffered, ConnectionEnd, Err(Failure::Broken)),
        row(Empty, Stream, Length, Ok(())),
        row(Empty, Stream, Chunked, Ok(())),
        row(Empty, Stream, ConnectionEnd, Err(Failure::Broken)),
        row(Inside, Buffered, Length, Ok(())),
        row(Inside, Buffered, Chunked, Ok(())),
        row(Inside, Buffered, ConnectionEnd, Ok(())),
        row(Inside, Stream, Length, Err(Failure::Malformed)),
        row(Inside, Stream, Chunked, Err(Failure::Malformed)),
        row(Inside, Stream, ConnectionEnd, Err(Failure::Broken)),
        row(BetweenEvents, Stream, Length, Ok(())),
        row(BetweenEvents, Stream, Chunked, Ok(())),
        row(BetweenEvents, Stream, ConnectionEnd, Ok(())),
    ];
    for Case { progress, kind, framing, expected } in cases {
        assert_eq!(
            check_end(kind, framing, progress),
            expected,
            "{progress:?} {kind:?} {framing:?}"
        );
    }
}

#[test]
fn only_a_lost_connection_accuses_the_request() {
    struct Case {
        is_sent: bool,
        interruption: Interruption,
        failure: Failure,
        is_not_run: bool,
        is_loss: bool,
        outcome: Option<SendOutcome>,
    }
    let row = |is_sent, interruption, failure, is_not_run, is_loss, outcome| Case {
        is_sent,
        interruption,
        failure,
        is_not_run,
        is_loss,
        outcome,
    };
    let (refused, broken) = (Some(SendOutcome::Refused), Some(SendOutcome::ConnectionFailed));
    let (failed, responded) = (Some(SendOutcome::Failed), Some(SendOutcome::Responded));
    let cases = [
        row(false, Interruption::Disconnected, Failure::NotArrived, true, false, broken),
        row(false, Interruption::Malformed, Failure::NotArrived, true, false, broken),
        row(true, Interruption::Disconnected, Failure::Broken, false, true, broken),
        row(true, Interruption::Malformed, Failure::Malformed, false, false, broken),
        row(true, Interruption::Foreign, Failure::Spoilt, false, false, failed),
        row(true, Interruption::Refused, Failure::NotRun, true, false, refused),
        row(true, Interruption::Misdirected, Failure::Misdirected, true, false, refused),
        row(true, Interruption::Unmet, Failure::Unmet, true, false, responded),
        row(true, Interruption::NoMemory, Failure::NoMemory, false, false, None),
    ];
    for Case { is_sent, interruption, failure, is_not_run, is_loss, outcome } in cases {
        let actual = Failure::of_interruption(is_sent, interruption);
        assert_eq!(actual, failure, "sent: {is_sent}, {interruption:?}");
        assert_eq!(actual.is_not_run(), is_not_run, "{failure:?}");
        assert_eq!(actual.is_loss(), is_loss, "{failure:?}");
        assert_eq!(actual.outcome(), outcome, "{failure:?}");
    }
}
