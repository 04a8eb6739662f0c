#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>

namespace vanillashunt {

// Tells the end of a connection from its reset. The system reports a reset once, to whichever operation
// on the socket comes first; if a write takes it, reads report the end of the connection. A reset behind
// the end of the connection is reported to writes as a broken pipe.
class reset_detector {
public:
    // To be called with the result of each write, before the results of later reads are asked for.
    void written(const boost::system::error_code& error) { m_wasReset = m_wasReset || error == boost::asio::error::connection_reset; }

    // The result of a read: the reset in place of the end if a write has taken it.
    boost::system::error_code resultOfRead(const boost::system::error_code& error) const
    {
        bool hidesReset = m_wasReset && error == boost::asio::error::eof;
        return hidesReset ? boost::asio::error::connection_reset : error;
    }

private:
    bool m_wasReset = false;
};

}
