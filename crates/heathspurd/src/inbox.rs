//! What reaches the owner beside requests.

use crate::config::Config;
use crate::interpreter;
use crate::store;
use heathspur::RequestId;

/// What happened.
#[derive(Debug)]
pub(crate) enum News {
    /// The caller of a request is gone.
    Gone(RequestId),
    /// A connection has closed, and somebody waits for the last one.
    Closed,
    Interpreter(interpreter::News),
    Store(store::News),
    /// The notice to drain.
    Drain,
    /// The configuration was replaced.
    Reload(Box<Config>),
}

impl From<interpreter::News> for News {
    fn from(heard: interpreter::News) -> News {
        News::Interpreter(heard)
    }
}

impl From<RequestId> for News {
    fn from(gone: RequestId) -> News {
        News::Gone(gone)
    }
}

impl From<()> for News {
    fn from((): ()) -> News {
        News::Closed
    }
}

impl From<store::News> for News {
    fn from(called: store::News) -> News {
        News::Store(called)
    }
}
