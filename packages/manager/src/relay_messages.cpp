#include <jujubespool/manager/relay_messages.h>

namespace jujubespool {

namespace {

wire::relayed_order messageFor(std::uint64_t number, const worker_address &target)
{
    wire::relayed_order message;
    message.set_number(number);
    message.set_worker(target.incarnation.id);
    message.set_worker_start_ms(target.incarnation.startTimeMs);
    message.set_address(target.address);
    return message;
}

worker_address addressOf(const wire::relayed_order &message)
{
    return { { message.worker(), message.worker_start_ms() }, message.address(), {} };
}

std::optional<order_status> statusOf(const wire::relayed_result &message)
{
    // Only the owner itself knows that an order was not sent.
    if (message.status() >= static_cast<std::uint32_t>(order_status::withheld)) {
        return std::nullopt;
    }
    return static_cast<order_status>(message.status());
}

std::optional<active_run> activeRunOf(const wire::relayed_running &message)
{
    const std::optional<task_key> task = task_key::parse(message.task());
    if (!task) {
        return std::nullopt;
    }
    return active_run{ *task, static_cast<int>(message.run()), message.checkpoint(), message.progress_percent(),
                       message.reported_metric() };
}

std::optional<finished_run> finishedRunOf(const wire::relayed_finished &message)
{
    const std::optional<task_key> task = task_key::parse(message.task());
    if (!task || message.outcome() >= enum_names<run_outcome>::NAMES.size()) {
        return std::nullopt;
    }
    return finished_run{ message.number(), *task, static_cast<int>(message.run()), static_cast<run_outcome>(message.outcome()),
                         message.checkpoint() };
}

} // namespace

wire::relayed_order toMessage(std::uint64_t number, const start_order &order)
{
    wire::relayed_order message = messageFor(number, order.worker);
    wire::relayed_start &body = *message.mutable_start();
    body.set_task(order.task.text());
    body.set_run(static_cast<std::uint32_t>(order.run));
    body.set_spec(order.spec);
    body.set_until_ms(order.untilMs);
    body.set_checkpoint(order.checkpoint);
    body.set_ticket(order.ticket);
    return message;
}

wire::relayed_order toMessage(std::uint64_t number, const stop_order &order)
{
    wire::relayed_order message = messageFor(number, order.worker);
    message.mutable_stop()->set_task(order.task.text());
    message.mutable_stop()->set_run(static_cast<std::uint32_t>(order.run));
    return message;
}

wire::relayed_order toMessage(std::uint64_t number, const poll_order &order)
{
    wire::relayed_order message = messageFor(number, order.worker);
    wire::relayed_poll &body = *message.mutable_poll();
    body.set_acknowledged_ends(order.acknowledgedEnds);
    if (order.untilMs) {
        body.set_until_ms(*order.untilMs);
    }
    body.set_wait_ms(static_cast<std::uint32_t>(order.wait.count()));
    body.set_response_allowance_ms(static_cast<std::uint32_t>(order.responseAllowance.count()));
    return message;
}

std::optional<start_order> startOrderOf(const wire::relayed_order &message, std::uint64_t fencingToken)
{
    const std::optional<task_key> task = task_key::parse(message.start().task());
    if (!message.has_start() || !task) {
        return std::nullopt;
    }
    const wire::relayed_start &body = message.start();
    start_order order;
    order.worker = addressOf(message);
    order.task = *task;
    order.run = static_cast<int>(body.run());
    order.spec = body.spec();
    order.untilMs = body.until_ms();
    order.fencingToken = fencingToken;
    order.checkpoint = body.checkpoint();
    order.ticket = body.ticket();
    return order;
}

std::optional<stop_order> stopOrderOf(const wire::relayed_order &message, std::uint64_t fencingToken)
{
    const std::optional<task_key> task = task_key::parse(message.stop().task());
    if (!message.has_stop() || !task) {
        return std::nullopt;
    }
    return stop_order{ addressOf(message), *task, static_cast<int>(message.stop().run()), fencingToken };
}

std::optional<poll_order> pollOrderOf(const wire::relayed_order &message, std::uint64_t fencingToken)
{
    if (!message.has_poll()) {
        return std::nullopt;
    }
    const wire::relayed_poll &body = message.poll();
    poll_order order;
    order.worker = addressOf(message);
    order.fencingToken = fencingToken;
    order.acknowledgedEnds = body.acknowledged_ends();
    if (body.has_until_ms()) {
        order.untilMs = body.until_ms();
    }
    order.wait = milliseconds(body.wait_ms());
    order.responseAllowance = milliseconds(body.response_allowance_ms());
    return order;
}

wire::relayed_result toMessage(std::uint64_t number, const order_result &result)
{
    wire::relayed_result message;
    message.set_number(number);
    message.set_status(static_cast<std::uint32_t>(result.status));
    if (result.clockMs) {
        message.set_clock_ms(*result.clockMs);
    }
    message.set_reason(result.reason.reason);
    message.set_worker_start_ms(result.startTimeMs);
    return message;
}

wire::relayed_result toMessage(std::uint64_t number, const poll_result &result)
{
    wire::relayed_result message;
    message.set_number(number);
    message.set_status(static_cast<std::uint32_t>(result.status));
    message.set_clock_ms(result.clockMs);
    message.set_reason(result.reason.reason);
    message.set_worker_start_ms(result.startTimeMs);
    message.set_incomplete(!result.complete);
    for (const active_run &run : result.running) {
        wire::relayed_running &row = *message.add_running();
        row.set_task(run.task.text());
        row.set_run(static_cast<std::uint32_t>(run.run));
        row.set_checkpoint(run.checkpoint);
        row.set_progress_percent(run.progressPercent);
        row.set_reported_metric(run.reportedMetric);
    }
    for (const finished_run &run : result.finished) {
        wire::relayed_finished &row = *message.add_finished();
        row.set_number(run.number);
        row.set_task(run.task.text());
        row.set_run(static_cast<std::uint32_t>(run.run));
        row.set_outcome(static_cast<std::uint32_t>(run.outcome));
        row.set_checkpoint(run.checkpoint);
    }
    return message;
}

std::optional<order_result> orderResultOf(const wire::relayed_result &message)
{
    const std::optional<order_status> status = statusOf(message);
    if (!status) {
        return std::nullopt;
    }
    order_result result;
    result.status = *status;
    if (message.has_clock_ms()) {
        result.clockMs = message.clock_ms();
    }
    result.reason = { failure_step::exchange, {}, message.reason() };
    result.startTimeMs = message.worker_start_ms();
    return result;
}

std::optional<poll_result> pollResultOf(const wire::relayed_result &message)
{
    const std::optional<order_status> status = statusOf(message);
    if (!status) {
        return std::nullopt;
    }
    poll_result result;
    result.status = *status;
    result.clockMs = message.clock_ms();
    result.startTimeMs = message.worker_start_ms();
    result.complete = !message.incomplete();
    result.reason = { failure_step::exchange, {}, message.reason() };
    for (const wire::relayed_running &row : message.running()) {
        const std::optional<active_run> run = activeRunOf(row);
        if (!run) {
            return std::nullopt;
        }
        result.running.push_back(*run);
    }
    for (const wire::relayed_finished &row : message.finished()) {
        const std::optional<finished_run> run = finishedRunOf(row);
        if (!run) {
            return std::nullopt;
        }
        result.finished.push_back(*run);
    }
    return result;
}

} // namespace jujubespool
