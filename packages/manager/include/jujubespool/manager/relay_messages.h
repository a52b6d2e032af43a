// Converts orders for workers, and the results of orders, to and from the messages in which processes exchange them.
//
//     wire::relayed_order message = toMessage(7, order);
//     const std::optional<start_order> received = startOrderOf(message, epoch);
//
// A message that cannot be converted yields an empty optional, never an exception.
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <jujubespool/wire/jujubespool.pb.h>

namespace jujubespool {

wire::relayed_order toMessage(std::uint64_t number, const start_order &order);
wire::relayed_order toMessage(std::uint64_t number, const stop_order &order);
wire::relayed_order toMessage(std::uint64_t number, const poll_order &order);
// Empty if the message holds another kind of order or a malformed task name.
std::optional<start_order> startOrderOf(const wire::relayed_order &message, std::uint64_t fencingToken);
std::optional<stop_order> stopOrderOf(const wire::relayed_order &message, std::uint64_t fencingToken);
std::optional<poll_order> pollOrderOf(const wire::relayed_order &message, std::uint64_t fencingToken);

wire::relayed_result toMessage(std::uint64_t number, const order_result &result);
wire::relayed_result toMessage(std::uint64_t number, const poll_result &result);
// Empty if the status, a task name or an outcome is not valid.
std::optional<order_result> orderResultOf(const wire::relayed_result &message);
std::optional<poll_result> pollResultOf(const wire::relayed_result &message);

} // namespace jujubespool
