//! Traces: a span for each hop, carried between processes by `traceparent`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;
use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use opentelemetry::{
    Context, KeyValue,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::{SpanKind, TraceContextExt, Tracer as _, TracerProvider as _},
};
use opentelemetry_otlp::{WithExportConfig, WithHttpConfig as _};
use opentelemetry_sdk::{
    Resource,
    error::OTelSdkResult,
    propagation::TraceContextPropagator,
    trace::{SdkTracer, SdkTracerProvider, SpanData, SpanExporter},
};

use crate::id::BoxName;

const EXPORT_TIMEOUT: Duration = Duration::from_secs(3);

struct Reader<'a>(&'a HeaderMap);

impl Extractor for Reader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct Writer<'a>(&'a mut HeaderMap);

impl Injector for Writer<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::from_bytes(key.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}

/// Runs an exporter on the runtime: the library calls it from a thread of its own.
#[derive(Debug)]
struct OnRuntime {
    inner: Arc<opentelemetry_otlp::SpanExporter>,
    runtime: tokio::runtime::Handle,
}

impl SpanExporter for OnRuntime {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let inner = self.inner.clone();
        let task = self.runtime.spawn(async move { inner.export(batch).await });
        let failed = |e: tokio::task::JoinError| {
            opentelemetry_sdk::error::OTelSdkError::InternalFailure(e.to_string())
        };
        task.await.map_err(failed)?
    }
}

/// Makes the spans of one box.
#[derive(Clone, Debug)]
pub struct Tracer {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: Arc<TraceContextPropagator>,
}

impl Tracer {
    /// Spans go to `collector` (OTLP over HTTP) or, without one, are discarded.
    pub fn new(name: &BoxName, collector: Option<SocketAddr>) -> eyre::Result<Self> {
        let resource = Resource::builder()
            .with_service_name("petreldrum")
            .with_attribute(KeyValue::new("box", name.to_string()))
            .build();
        let builder = SdkTracerProvider::builder().with_resource(resource);
        let provider = match collector {
            None => builder.build(),
            Some(address) => {
                let client = opentelemetry_http::hyper::HyperClient::with_default_connector(
                    EXPORT_TIMEOUT,
                    None,
                );
                let exporter = opentelemetry_otlp::SpanExporter::builder()
                    .with_http()
                    .with_http_client(client)
                    .with_endpoint(format!("http://{address}/v1/traces"))
                    .build()
                    .wrap_err("cannot set up the trace exporter")?;
                let exporter = OnRuntime {
                    inner: Arc::new(exporter),
                    runtime: tokio::runtime::Handle::current(),
                };
                builder.with_batch_exporter(exporter).build()
            }
        };
        Ok(Self {
            tracer: provider.tracer("petreldrum"),
            provider,
            propagator: Arc::new(TraceContextPropagator::new()),
        })
    }

    /// Begins the span of a request that came with `headers`.
    pub fn receive(&self, name: &'static str, headers: &HeaderMap) -> Span {
        let parent = self
            .propagator
            .extract_with_context(&Context::new(), &Reader(headers));
        self.begin(name, SpanKind::Server, &parent)
    }

    /// Begins the span of an attempt below `parent` and names it in `headers`.
    pub fn send(&self, name: &'static str, parent: &Span, headers: &mut HeaderMap) -> Span {
        let span = self.begin(name, SpanKind::Client, &parent.context);
        self.propagator
            .inject_context(&span.context, &mut Writer(headers));
        span
    }

    fn begin(&self, name: &'static str, kind: SpanKind, parent: &Context) -> Span {
        let builder = self.tracer.span_builder(name).with_kind(kind);
        let span = self.tracer.build_with_context(builder, parent);
        Span {
            context: parent.with_span(span),
        }
    }

    /// Sends what is left.
    pub fn shutdown(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!("trace: shutdown: {error}");
        }
    }
}

/// One hop of a request; it ends when the last holder drops it.
#[derive(Clone, Debug)]
pub struct Span {
    context: Context,
}

impl Span {
    /// Adds a fact to the span.
    pub fn note(&self, key: &'static str, value: impl ToString) {
        let value = KeyValue::new(key, value.to_string());
        self.context.span().set_attribute(value);
    }

    /// The trace's number, as a caller may quote it.
    pub fn trace_id(&self) -> String {
        self.context.span().span_context().trace_id().to_string()
    }
}
