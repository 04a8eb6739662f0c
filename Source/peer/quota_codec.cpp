#include "peer/quota_codec.h"

#include "peer/datagram_checksum.h"

#include <caf/binary_deserializer.hpp>
#include <caf/binary_serializer.hpp>

#include <cmath>

namespace vanillashunt {

namespace {

    // "VSQ1", little-endian; the digit is the version of the format.
    constexpr std::uint32_t magic = 0x31515356;
    constexpr std::size_t maxDatagramBytes = 1400;

    // No node accrues more time than this to share, and no request is told to wait longer.
    // Messages with larger values are rejected.
    constexpr double maxSeconds = 3600;
    constexpr std::uint32_t maxWaitMilliseconds = 3600 * 1000;

    bool isInRange(double value, double max)
    {
        return value >= 0 && value <= max;
    }

    bool writeEntries(caf::binary_serializer& sink, const quota_message& message)
    {
        auto askCount = static_cast<std::uint16_t>(message.asks.size());
        auto grantCount = static_cast<std::uint16_t>(message.grants.size());
        bool isWritten = !sink(askCount, grantCount);
        for (const auto& ask : message.asks) {
            isWritten = isWritten && !sink(ask.organisation, ask.count, ask.fresh);
        }
        for (const auto& grant : message.grants) {
            auto wait = static_cast<std::uint32_t>(grant.wait.count());
            isWritten = isWritten && !sink(grant.organisation, grant.count, wait);
        }
        return isWritten;
    }

    bool readEntries(caf::binary_deserializer& source, quota_message& message)
    {
        std::uint16_t askCount = 0;
        std::uint16_t grantCount = 0;
        if (source(askCount, grantCount) || askCount > maxQuotaEntries || grantCount > maxQuotaEntries) {
            return false;
        }
        for (std::uint16_t i = 0; i < askCount; ++i) {
            quota_ask ask;
            if (source(ask.organisation, ask.count, ask.fresh)) {
                return false;
            }
            message.asks.push_back(std::move(ask));
        }
        for (std::uint16_t i = 0; i < grantCount; ++i) {
            quota_grant grant;
            std::uint32_t wait = 0;
            if (source(grant.organisation, grant.count, wait) || wait > maxWaitMilliseconds) {
                return false;
            }
            grant.wait = std::chrono::milliseconds(wait);
            message.grants.push_back(std::move(grant));
        }
        return true;
    }

}

std::vector<char> encodeQuota(const quota_message& message, std::uint64_t checksumSeed)
{
    std::vector<char> bytes(checksumHeaderBytes);
    caf::binary_serializer sink(nullptr, bytes);
    sink.seek(checksumHeaderBytes);
    auto kind = static_cast<std::uint8_t>(message.kind);
    double time = message.accrual.time.count();
    bool isWritten = !sink(kind, message.senderId, message.sequence, message.accrual.share, time, message.isFromPool) && writeEntries(sink, message);
    if (!isWritten || bytes.size() > maxDatagramBytes) {
        return {};
    }
    writeChecksumHeader(bytes, magic, checksumSeed);
    return bytes;
}

std::optional<quota_message> decodeQuota(const char* bytes, std::size_t size, std::uint64_t checksumSeed)
{
    auto payload = readChecksummedPayload({ bytes, size }, magic, checksumSeed);
    if (!payload) {
        return std::nullopt;
    }
    caf::binary_deserializer source(nullptr, payload->data(), payload->size());
    quota_message message;
    std::uint8_t kind = 0;
    double time = 0;
    if (source(kind, message.senderId, message.sequence, message.accrual.share, time, message.isFromPool)) {
        return std::nullopt;
    }
    bool isKnownKind = kind >= static_cast<std::uint8_t>(quota_kind::Accrual) && kind <= static_cast<std::uint8_t>(quota_kind::Grant);
    if (!isKnownKind || !isInRange(message.accrual.share, 1) || !isInRange(time, maxSeconds)) {
        return std::nullopt;
    }
    message.kind = static_cast<quota_kind>(kind);
    message.accrual.node = message.senderId;
    message.accrual.time = std::chrono::duration<double>(time);
    if (!readEntries(source, message) || source.remaining() != 0) {
        return std::nullopt;
    }
    return message;
}

}
