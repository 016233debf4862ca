#include <geraniumpulley/codec/peer_messages.hpp>

#include "message_pack.hpp"

#include <geraniumpulley/codec/configuration_text.hpp>
#include <geraniumpulley/codec/error.hpp>

#include <tuple>
#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::pack;
using detail::unpack;

using NodeWire = std::tuple<std::string, std::string, std::string, std::uint64_t>;
using MemberUpdateWire = std::tuple<NodeWire, int, std::uint64_t>;
using AnnouncementWire =
        std::tuple<NodeWire, std::uint64_t, std::vector<NodeWire>, int, std::uint64_t,
                   std::vector<MemberUpdateWire>, std::vector<std::string>>;
using DocumentWire = std::tuple<std::uint64_t, std::string, std::string, std::string>;
using DocumentRequestWire = std::tuple<NodeWire, std::uint64_t>;
using PatchWire = std::tuple<NodeWire, std::uint64_t, std::uint64_t, std::string, std::string,
                             std::uint64_t, std::uint64_t, std::string, std::string>;

NodeWire toWire(const core::Node &node)
{
    return {node.id.value, node.address, node.dataCentre, node.incarnation};
}

core::Node fromWire(const NodeWire &wire)
{
    return {{std::get<0>(wire)}, std::get<1>(wire), std::get<2>(wire), std::get<3>(wire)};
}

template<typename Enum>
bool isEnumValue(int value, Enum last)
{
    return value >= 0 && value <= static_cast<int>(last);
}

} // namespace

std::string encodePeer(const core::Announcement &announcement)
{
    AnnouncementWire wire;
    std::get<0>(wire) = toWire(announcement.sender);
    std::get<1>(wire) = core::number(announcement.version);
    for (const core::Node &node : announcement.nodes)
        std::get<2>(wire).push_back(toWire(node));
    std::get<3>(wire) = static_cast<int>(announcement.kind);
    std::get<4>(wire) = announcement.refutation;
    for (const core::MemberUpdate &update : announcement.updates)
        std::get<5>(wire).emplace_back(toWire(update.node), static_cast<int>(update.state),
                                       update.refutation);
    for (const core::TargetId &id : announcement.leavingTargets)
        std::get<6>(wire).push_back(id.value);
    return pack(wire);
}

std::string encodePeer(const core::ConfigurationDocument &document)
{
    return pack(DocumentWire{core::number(document.version), document.submissionId, document.author,
                             document.text});
}

std::string encodePeer(const core::RequestDocument &request, const core::Node &self)
{
    return pack(DocumentRequestWire{toWire(self), core::number(request.knownVersion)});
}

std::string encodePeer(const core::DocumentPatch &patch, const core::Node &self)
{
    return pack(PatchWire{toWire(self), core::number(patch.version), core::number(patch.base),
                          patch.submissionId, patch.author, patch.text.prefixBytes,
                          patch.text.suffixBytes, patch.text.replacement, patch.text.digest});
}

core::Result<core::Announcement> decodeAnnouncement(const std::string &bytes)
{
    auto wire = unpack<AnnouncementWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[sender, version, nodes, kind, refutation, updates, leavingTargets] = wire.value();
    if (!isEnumValue(kind, core::AnnouncementKind::VersionNotice))
        return make_error_code(Errc::SchemaMismatch);
    core::Announcement announcement;
    announcement.sender = fromWire(sender);
    announcement.version = core::ConfigurationVersion{version};
    for (const NodeWire &node : nodes)
        announcement.nodes.push_back(fromWire(node));
    announcement.kind = static_cast<core::AnnouncementKind>(kind);
    announcement.refutation = refutation;
    for (const auto &[node, state, updateRefutation] : updates) {
        if (!isEnumValue(state, core::MemberState::Dead))
            return make_error_code(Errc::SchemaMismatch);
        announcement.updates.push_back(
                {fromWire(node), static_cast<core::MemberState>(state), updateRefutation});
    }
    for (const std::string &id : leavingTargets)
        announcement.leavingTargets.push_back({id});
    return announcement;
}

core::Result<core::ConfigurationDocument> decodeDocument(const std::string &bytes)
{
    auto wire = unpack<DocumentWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[version, submissionId, author, text] = wire.value();
    ParsedConfiguration parsed = parseConfiguration(text);
    if (!parsed.problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return core::ConfigurationDocument{
            core::ConfigurationVersion{version}, submissionId, author, text,
            std::make_shared<const core::Configuration>(std::move(parsed.configuration))};
}

core::Result<core::DocumentRequested> decodeDocumentRequest(const std::string &bytes)
{
    auto wire = unpack<DocumentRequestWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[from, knownVersion] = wire.value();
    return core::DocumentRequested{fromWire(from), core::ConfigurationVersion{knownVersion}};
}

core::Result<core::PatchReceived> decodePatch(const std::string &bytes)
{
    auto wire = unpack<PatchWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[from, version, base, submissionId, author, prefixBytes, suffixBytes, replacement,
                 digest] = wire.value();
    return core::PatchReceived{fromWire(from),
                               {core::ConfigurationVersion{version},
                                core::ConfigurationVersion{base},
                                submissionId,
                                author,
                                {prefixBytes, suffixBytes, replacement, digest}}};
}

} // namespace geraniumpulley::codec
